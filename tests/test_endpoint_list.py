"""When the list of servers may be acted on: each event between a process and its agent, and no time alone."""

import unittest

from martenrouter.policy.endpoint_list import HELD_UP, MOVE_TOLD_AFTER, DiscoveryEvent, EndpointList

SECOND = 1_000_000  # microseconds
DAY = 86_400 * SECOND
GRACE = SECOND  # in which a send to a server that drains may begin
MARGIN = GRACE - HELD_UP
AT = 1_000 * SECOND  # when the first event of a test happens

MOVED, RELOAD_ASKED = DiscoveryEvent.AGENT_MOVED, DiscoveryEvent.RELOAD_ASKED
NEWS_BEGAN, RELOAD_ENDED = DiscoveryEvent.NEWS_BEGAN, DiscoveryEvent.RELOAD_ENDED
CONNECTED, ENDED = DiscoveryEvent.CALL_CONNECTED, DiscoveryEvent.CALL_ENDED
REFUSED = DiscoveryEvent.CALL_REFUSED


class Currency(unittest.TestCase):
    def list_after(self, *events):
        """A list that was confirmed once; `events`: (DiscoveryEvent, seconds after AT)."""
        list_ = EndpointList(GRACE)
        list_.confirm()
        for event, seconds in events:
            list_.take(event, AT + int(seconds * SECOND))
        return list_

    def assert_used_until(self, list_, until):
        """`until`: microseconds after AT, None for without an end."""
        if until is None:
            self.assertTrue(list_.may_be_used(AT + 30 * DAY))
        else:
            seen = [list_.may_be_used(AT + until + more) for more in (-1, 0, 30 * SECOND, 90 * SECOND, DAY)]
            self.assertEqual(seen, [True, False, False, False, False])
        list_.confirm()
        self.assertTrue(list_.may_be_used(AT + 30 * DAY))

    def test_a_list_of_the_configuration_is_never_used(self):
        list_ = EndpointList(GRACE)
        list_.take(DiscoveryEvent.STARTED, AT)
        self.assertEqual([list_.may_be_used(AT + n * SECOND) for n in (0, 29, 31, 90, 86_400)], [False] * 5)

    def test_an_outage_under_a_current_watch_ends_nothing(self):
        # calls to an agent that is silent connect, and are given up by this process
        self.assert_used_until(self.list_after((CONNECTED, 0), (CONNECTED, 5), (CONNECTED, 3600)), None)

    def test_a_move_ends_it_four_seconds_after_the_signal(self):
        self.assert_used_until(self.list_after((MOVED, 0)), MOVE_TOLD_AFTER)
        late = self.list_after((RELOAD_ASKED, 0), (MOVED, 3))  # half written up to then
        self.assert_used_until(late, MOVE_TOLD_AFTER)

    def test_moves_in_a_row_count_from_the_first(self):
        events = (
            (RELOAD_ASKED, 0),
            (MOVED, 0),
            (CONNECTED, 0.1),
            (RELOAD_ASKED, 3),
            (MOVED, 3),
            (CONNECTED, 3),
        )
        self.assert_used_until(self.list_after(*events), MOVE_TOLD_AFTER)

    def test_a_configuration_that_moves_nothing_ends_nothing(self):
        self.assert_used_until(self.list_after((RELOAD_ASKED, 0), (RELOAD_ENDED, 0), (CONNECTED, 9)), None)

    def test_a_configuration_that_cannot_be_read(self):
        self.assert_used_until(self.list_after((RELOAD_ASKED, 0)), None)  # its agent is heard all the same
        for event in (ENDED, REFUSED):
            with self.subTest(event):
                self.assert_used_until(self.list_after((RELOAD_ASKED, 0), (event, 1.5)), MOVE_TOLD_AFTER)

    def test_an_agent_that_ended_the_watch_and_is_silent_ends_it_after_the_grace(self):
        self.assert_used_until(self.list_after((ENDED, 0), (CONNECTED, 0.1)), MARGIN)
        again = self.list_after((ENDED, 0), (CONNECTED, 0.1), (ENDED, 0.5), (CONNECTED, 0.6))
        self.assert_used_until(again, MARGIN)

    def test_an_agent_whose_process_has_ended_has_no_news_but_the_next_one_may(self):
        self.assert_used_until(self.list_after((ENDED, 0), (REFUSED, 0.1), (REFUSED, 60)), None)
        back = self.list_after((ENDED, 0), (REFUSED, 0.1), (CONNECTED, 60))
        self.assert_used_until(back, 60 * SECOND + MARGIN)
        after_silence = self.list_after((CONNECTED, 0), (REFUSED, 5), (CONNECTED, 9))
        self.assert_used_until(after_silence, 9 * SECOND + MARGIN)

    def test_half_a_line_ends_it_after_the_grace(self):
        self.assert_used_until(self.list_after((NEWS_BEGAN, 0)), MARGIN)

    def test_the_earliest_end_holds(self):
        self.assert_used_until(self.list_after((NEWS_BEGAN, 0), (MOVED, 0.5)), MARGIN)
        self.assert_used_until(self.list_after((NEWS_BEGAN, 0), (NEWS_BEGAN, 0.5)), MARGIN)

    def test_what_another_agent_does_before_its_first_line_takes_no_time_from_it(self):
        for events in (
            ((REFUSED, 0.1), (CONNECTED, 1)),
            ((CONNECTED, 0.1), (ENDED, 0.2), (CONNECTED, 0.3)),
            ((CONNECTED, 0.1), (NEWS_BEGAN, 0.2)),
        ):
            with self.subTest(events):
                self.assert_used_until(self.list_after((MOVED, 0), *events), MOVE_TOLD_AFTER)

    def test_a_move_that_is_over_gives_no_time_to_what_comes_later(self):
        for before in ((MOVED, -10), (RELOAD_ASKED, -10)):  # heard since, and a file that is never readable
            with self.subTest(before):
                list_ = self.list_after(before)
                list_.confirm()
                list_.take(NEWS_BEGAN, AT)
                self.assert_used_until(list_, MARGIN)

    def test_a_reload_that_changes_nothing_during_a_move_ends_no_clock(self):
        events = (MOVED, 0), (RELOAD_ASKED, 2), (RELOAD_ENDED, 2), (CONNECTED, 3)
        self.assert_used_until(self.list_after(*events), MOVE_TOLD_AFTER)

    def test_a_grace_shorter_than_a_hold_up_leaves_no_time(self):
        list_ = EndpointList(HELD_UP // 2)
        list_.take(NEWS_BEGAN, AT)
        self.assertFalse(list_.may_be_used(AT))


if __name__ == "__main__":
    unittest.main()
