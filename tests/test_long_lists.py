"""What is remembered of servers while the list names thousands and a release replaces them."""

import types
import unittest

from martenrouter.node.drains import Drains
from martenrouter.node.server_starts import ServerStarts

SERVERS = 3200
HOUR = 3_600_000_000  # microseconds
WARM_WITHIN = 10_000_000


class Remembered(unittest.TestCase):
    # Report 87b5f4, related: more ids than were remembered made old servers pass for new ones.
    def test_servers_that_stayed_through_two_releases_are_as_old_as_before(self):
        now, wall = 5 * HOUR, 100 * HOUR
        starts = ServerStarts(now, wall, WARM_WITHIN)
        first = {"a%d" % n: (wall - HOUR) // 1000 for n in range(SERVERS)}
        before = starts.take(first, now)
        for step in (1, 2):
            now, wall = now + 60_000_000, wall + 60_000_000
            starts.heard(now)
            starts.take({"%d-%d" % (step, n): wall // 1000 for n in range(SERVERS // 2)}, now)
        starts.heard(now)
        again = starts.take(first, now + 1_000_000)
        self.assertEqual(sum(again[id] != before[id] for id in first), 0)

    # Report 87b5f4, related: as above, for drains that an older list must not undo.
    def test_a_drain_is_remembered_through_a_release_of_all_servers(self):
        drains = Drains()

        def tell(id, phase, revision):
            return drains.phase(types.SimpleNamespace(id=id, up_since_ms=0), phase, revision)

        for n in range(2 * SERVERS):
            tell("a%d" % n, "draining", 9)
        self.assertEqual({tell("a%d" % n, "up", 8) for n in range(SERVERS)}, {"draining"})


if __name__ == "__main__":
    unittest.main()
