"""Terms of a quiet day, on tables: the largest reqs get their part, and no session is refused throughout
while there is room."""

import heapq
import unittest

from tests.helpers import Rig, Seen, row

ROWS = [row("r%d" % n, "rd", cell=n % 2) for n in range(4)] + [
    row("w%d" % n, "wr", cell=n % 2) for n in range(4)
]
READ, FIRST, WRITE = 60, 120_000, 1_500_000  # microseconds: a prompt token, a first token, an answer


def day(fronts, reqs=400, fleet_gap=60_000, longest=14_000):
    """[(session, prompt, answered)] of a front among `fronts`, its engines a third full and never late; the
    fleet gets a req every
    `fleet_gap` microseconds, and this front its even part of them."""
    gap = fleet_gap * fronts
    rig, due, at = Rig(ROWS, fronts=fronts), [], {}

    def play(now, *calls):
        seen = Seen()
        rig.now = now
        rig.front.turn(now, list(calls), seen)
        for id, engine, *_ in seen.all("forward"):
            n = at[id] = at.get(id, -1) + 1
            if engine[0] == "r":
                heapq.heappush(
                    due,
                    (
                        now + READ * prompts[id],
                        id,
                        ("outcome", (id, n, "read", engine, READ * prompts[id], False, 0, None)),
                    ),
                )
            else:
                load = {"memory_share": 0.35}
                heapq.heappush(due, (now + FIRST, id, ("first_token", (id, n, engine, FIRST))))
                heapq.heappush(
                    due, (now + WRITE, id, ("outcome", (id, n, "done", engine, WRITE, True, 0, load)))
                )
                answered.add(id)
        for id, *_ in seen.all("push_back") + seen.all("abort"):
            answered.discard(id)
        for mark, after in seen.all("wake"):
            heapq.heappush(due, (now + after, -1, ("timer", (mark,))))

    prompts, answered, now = {}, set(), rig.now
    for id in range(reqs):
        prompts[id] = longest if id % 10 == 7 else 700 + 90 * (id % 9)
        arrives = now + gap * id
        while due and due[0][0] <= arrives:
            when, _, call = heapq.heappop(due)
            play(when, call)
        play(
            arrives,
            (
                "arrived",
                (
                    id,
                    "chat",
                    None,
                    "s%d" % (id % 70),
                    arrives + 6_000_000,
                    None,
                    "p%d" % (id % 3),
                    prompts[id],
                    600,
                    200,
                    0,
                ),
            ),
        )
    while due:
        when, _, call = heapq.heappop(due)
        if when > now + gap * reqs + 20_000_000:
            break
        play(when, call)
    return [("s%d" % (id % 70), prompts[id], id in answered) for id in range(reqs)]


def share(rows):
    return sum(row[2] for row in rows) / len(rows)


class QuietDay(unittest.TestCase):
    def test_the_largest_reqs_get_two_thirds_of_the_answered_share(self):
        for fronts in (1, 6, 60, 200):
            with self.subTest(fronts=fronts):
                rows = day(fronts)
                largest = sorted(rows, key=lambda row: -row[1])[: len(rows) // 10]
                self.assertGreater(share(rows), 0.9)
                self.assertGreaterEqual(share(largest), 2 / 3 * share(rows))

    def test_no_session_is_refused_throughout(self):
        for fronts in (1, 6, 60, 200):
            with self.subTest(fronts=fronts):
                served = {}
                for session, _, answered in day(fronts):
                    served[session] = served.get(session, 0) + answered
                self.assertEqual([session for session, count in served.items() if not count], [])

    def test_the_table_can_fail(self):
        """Reqs that no target leaves time for are refused: the shares above are no matter of course."""
        self.assertLess(share(sorted(day(1, longest=400_000), key=lambda row: -row[1])[:40]), 0.2)


if __name__ == "__main__":
    unittest.main()
