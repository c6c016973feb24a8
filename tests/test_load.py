"""What the node says of its own lateness."""

import unittest
from unittest import mock

from martenrouter.node.load import INTERVAL, MEMORY_HIGH_EACH, ROUND_SLOW, ROUND_SLOW_EACH, Load

NOW = 50_000_000


class Lines(unittest.TestCase):
    def setUp(self):
        self.log = mock.Mock()
        self.load = Load(self.log, NOW, late_from=50_000)

    def test_an_interval_is_logged_once_with_its_worst(self):
        for late in (1000, 70_000, 20_000):
            self.load.woke(late)
        self.load.round(NOW + 1, 3000)
        self.load.round(NOW + 2, 9000)
        self.load.list_taken(400)
        self.load.first_attempt(600)
        self.load.state_waited(90_000)
        self.load.look(NOW + INTERVAL - 1, open=1)
        self.log.info.assert_not_called()
        self.load.look(NOW + INTERVAL, open=1)
        ((event,), told) = self.log.info.call_args
        self.assertEqual((event, told["open"], told["span"]), ("load", 1, INTERVAL))
        self.assertEqual((told["loop_late_most"], told["loop_late_turns"]), (70_000, 1))
        self.assertEqual((told["rounds"], told["rounds_time"], told["round_most"]), (2, 12_000, 9000))
        self.assertEqual((told["first_attempt_after_most"], told["state_waited_most"]), (600, 90_000))
        self.load.look(NOW + 2 * INTERVAL, open=1)
        self.assertEqual(self.log.info.call_args[1]["loop_late_most"], 0)

    def test_slow_rounds_are_logged_at_most_once_a_second(self):
        for at in (0, 1, ROUND_SLOW_EACH - 1, ROUND_SLOW_EACH):
            self.load.round(NOW + at, ROUND_SLOW, servers=3200)
        self.load.round(NOW + 3 * ROUND_SLOW_EACH, ROUND_SLOW - 1)
        self.assertEqual(self.log.warning.call_count, 2)
        self.log.warning.assert_called_with("round_slow", took=ROUND_SLOW, servers=3200)

    def test_memory_near_its_limit_is_logged_at_most_once_a_second(self):
        for at in (0, 1, MEMORY_HIGH_EACH - 1, MEMORY_HIGH_EACH):
            self.load.memory(NOW + at, 90, 100, clients=7)
        self.load.memory(NOW + 3 * MEMORY_HIGH_EACH, 89, 100, clients=7)
        self.assertEqual(self.log.warning.call_count, 2)
        self.log.warning.assert_called_with("memory_high", resident=90, limit=100, clients=7)
        self.load.look(NOW + INTERVAL)
        self.assertEqual(self.log.info.call_args[1]["memory_most"], 90)

    def test_what_was_turned_away_is_counted_by_interval(self):
        counters = {"refused_431": 2, "reqs": 9}
        load = Load(self.log, NOW, 50_000, counters)
        for n, expected in enumerate(({"refused_431": 2}, {"refused_431": 1, "connection_made_room": 4}, {})):
            load.look(NOW + (n + 1) * INTERVAL)
            self.assertEqual(self.log.info.call_args[1]["turned_away"], expected)
            counters.update({"refused_431": 3, "connection_made_room": 4})


if __name__ == "__main__":
    unittest.main()
