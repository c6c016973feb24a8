"""Messages that are on their way: what one may take of this process before it is whole.

Bytes of clients that are not a whole request yet have no claim of their own, whoever sends them and however
they are cut; the bounds here keep what they cost from whoever else is served.
"""


class Transfers:
    """Asked by the front node; without state of requests."""

    read_turn = 5_000  # microseconds of one turn of the event loop that are spent on clients' bytes
    # of one connection in one turn: bytes of heads and chunks, and calls of the parser; a body of a told
    # length costs little
    read_part, read_pieces = 4 * 1024, 200
