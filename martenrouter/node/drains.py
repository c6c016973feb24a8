"""Which servers were told to drain or to be gone, so that an older list does not undo it.

Agents may hold lists of different age, and a node may be moved from one to another. What was told once of a
server's end holds until a list that is no older, or a new start of that server, says otherwise.
"""

REMEMBERED = 12_800  # servers, four times the largest fleet; those told longest ago are forgotten first


class Drains:
    def __init__(self):
        self._told = {}  # server's id -> (revision of the list, the server's start as told)

    def phase(self, member, phase, revision):
        """What holds of the server: `phase`, as the list of `revision` tells it, or that it drains."""
        told = self._told.pop(member.id, None)
        if phase != "up":
            if told is None or told[0] <= revision:
                told = revision, member.up_since_ms
        elif told is None or told[0] <= revision or told[1] != member.up_since_ms:
            return phase
        else:
            phase = "draining"
        self._told[member.id] = told
        while len(self._told) > REMEMBERED:
            del self._told[next(iter(self._told))]
        return phase
