"""Hashes that are alike at every process: of keys to servers, and of servers to places on a ring."""

from hashlib import blake2b

BITS = 64


def draw(key, id):
    """The weight of the server `id` for the key, from 0 to 2**64; no crc, which is linear in the ids."""
    return int.from_bytes(blake2b(("%s %s" % (key, id)).encode(), digest_size=BITS // 8).digest(), "big")


def point(key):
    """Where a key or a server lies on the ring, from 0 to 2**64."""
    return draw("ring", key)
