"""Bounds follow from what is left of the memory limit, at every limit, and narrow near it."""

import unittest

from martenrouter.policy.memory import MemoryBudget

MEGABYTE = 1_000_000
AT_REST = 25 * MEGABYTE
LIMITS = (8, 16, 24, 32, 48, 64, 96, 192, 512)
DESCRIPTORS = (64, 256, 1024, 4096)


class Bounds(unittest.TestCase):
    # Report 82eceb: a sixth of the whole limit was for messages on their way, whatever was left of it.
    def test_all_prices_together_are_within_what_is_left(self):
        for limit in (32, 48, 64, 96, 192, 512):
            for sockets in DESCRIPTORS:
                with self.subTest(limit=limit, sockets=sockets):
                    budget = MemoryBudget(limit * MEGABYTE, AT_REST)
                    clients, requests = budget.connections(sockets * 2 // 5), budget.requests(sockets // 3)
                    held = clients * budget.connection_price + requests * budget.request_price
                    held += budget.remembered_ids(20_000) * budget.id_price
                    self.assertLessEqual(AT_REST + held + budget.transfers, budget.high)

    def test_no_limit_leaves_a_process_that_serves_nobody(self):
        for limit in LIMITS:
            for sockets in DESCRIPTORS:
                with self.subTest(limit=limit, sockets=sockets):
                    budget = MemoryBudget(limit * MEGABYTE, AT_REST)
                    self.assertGreaterEqual(budget.connections(sockets * 2 // 5), min(sockets * 2 // 5, 32))
                    self.assertGreaterEqual(budget.requests(sockets // 3), 16)
                    self.assertFalse(budget.look(AT_REST), "narrowed before anybody came")
                    self.assertGreaterEqual(budget.transfers, 100_000)

    def test_descriptors_bound_connections_where_memory_does_not(self):
        budget = MemoryBudget(192 * MEGABYTE, AT_REST)
        self.assertEqual((budget.connections(409), budget.requests(341)), (409, 341))

    def test_the_systems_buffers_follow_from_what_is_left(self):
        small, large = MemoryBudget(32 * MEGABYTE, AT_REST), MemoryBudget(192 * MEGABYTE, AT_REST)
        for budget, connections in ((small, small.connections(409)), (large, 409)):
            receive, send = budget.system_buffers(connections)
            self.assertLessEqual(2 * connections * receive, max(budget.left, 2 * connections * 16 * 1024))
            self.assertLessEqual(send, receive)
        self.assertEqual(large.system_buffers(102), (256 * 1024, 64 * 1024))

    def test_servers_and_an_unknown_size_count(self):
        few, many = MemoryBudget(64 * MEGABYTE, AT_REST, 10), MemoryBudget(64 * MEGABYTE, AT_REST, 3200)
        self.assertEqual(few.left - many.left, 3190 * MemoryBudget.server_price)
        unknown = MemoryBudget(64 * MEGABYTE, None)
        self.assertLess(unknown.left, few.left)
        self.assertFalse(unknown.look(None))


class Narrowing(unittest.TestCase):
    def test_bounds_narrow_near_the_limit_and_widen_again(self):
        budget = MemoryBudget(32 * MEGABYTE, AT_REST)
        self.assertEqual(budget.now(100, 16), 100)
        self.assertTrue(budget.look(int(budget.high) + 1))
        self.assertEqual(budget.now(100, 16), 75)
        for _ in range(100):
            budget.look(40 * MEGABYTE)
        self.assertEqual((budget.now(100, 16), budget.now(8, 16)), (16, 8))
        for _ in range(100):
            self.assertFalse(budget.look(AT_REST))
        self.assertEqual(budget.now(100, 16), 100)


if __name__ == "__main__":
    unittest.main()
