"""The work of the policy for one request, in executed operations, does not grow with the fleet."""

import sys
import unittest

from tests.helpers import Rig, row

REQUESTS = 6
COLD_PART = 3  # every third server starts anew
MOST_GROWTH = 1.4  # of a request, from 200 servers to 3,200


def operations(call):
    """How many operations of the interpreter `call()` executes in the routing policy."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        if "martenrouter" not in frame.f_code.co_filename:
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
    return count


class Cost(unittest.TestCase):
    def rig(self, count, cold):
        rows = [
            row("s%d" % n, "wr" if n % 2 else "rd", cell=n // 5, born=cold * (n % COLD_PART == 0))
            for n in range(count)
        ]
        return Rig(rows, fronts=200)

    def request(self, rig, id):
        """One request from its arrival to its end, with two rounds in which it only waits."""
        ((_, reader, _),) = rig.ask(id, session="s%d" % id, prefix="p").all("forward")
        rig.play(after=20_000)
        ((_, writer, _),) = rig.end(id, 0, "read", reader, after=20_000).all("forward")
        rig.play(after=20_000)
        rig.play(("first_token", (id, 1, writer, 20_000)))
        rig.end(id, 1, "done", writer, final=True, after=50_000)

    def mean(self, count, cold):
        rig = self.rig(count, 1_000_000_000 - 1_000_000 if cold else 0)
        self.request(rig, 0)  # what is worked out once for a list
        return sum(operations(lambda: self.request(rig, 1 + n)) for n in range(REQUESTS)) / REQUESTS

    # Report 87b5f4: a request cost 20 times as much at 3,200 servers as at 200, 100 times with cold ones.
    def test_a_request_costs_the_same_at_200_and_3200_servers_warm_or_cold(self):
        for cold in (False, True):
            usual, large = self.mean(200, cold), self.mean(3200, cold)
            with self.subTest(cold=cold):
                self.assertLessEqual(large, MOST_GROWTH * usual, (usual, large))


if __name__ == "__main__":
    unittest.main()
