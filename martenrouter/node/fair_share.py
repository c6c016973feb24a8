"""Shares the time that this process spends on clients' bytes: in each turn of the event loop connections read
a part each, one after the other, and what does not fit into the turn waits for the next.

Between turns everything else goes on, so that no client's bytes, however many there are and however they are
cut, hold up answers, deadlines or the bytes of others for longer than a turn.
"""

import collections
import contextlib

import gevent
from gevent.hub import Waiter

from martenrouter.edge import clock

NEXT_TURN = 1e-6  # seconds: a timer that is due looks for events and timers of others first


class FairShare:
    """`turn`: microseconds of one turn of the loop that are spent on clients' bytes."""

    def __init__(self, turn):
        self._turn = turn
        # who waits to begin a request, and who to go on with one; served in turn, so that neither a crowd of
        # new requests nor endless ones hold up the others
        self._begin, self._go_on = collections.deque(), collections.deque()
        self._beginners_next = True
        self._spent = 0  # microseconds of this turn
        self._next_turn = gevent.get_hub().loop.timer(NEXT_TURN)

    @contextlib.contextmanager
    def turn(self, begins):
        """What runs inside is part of a turn, for which the caller waits first; it must not wait itself.
        `begins`: whether a request begins with what is read."""
        if self._spent >= self._turn or self._begin or self._go_on:
            self._wait(self._begin if begins else self._go_on)
        begun = clock.now()
        try:
            yield
        finally:
            self._spent += clock.now() - begun
            if not self._next_turn.active:
                self._next_turn.start(self._run_turn)

    def _wait(self, queue):
        waiter = Waiter()
        queue.append(waiter)
        waiter.get()

    def _run_turn(self):
        """Called by the loop; those that are woken run until they wait for something."""
        self._spent = 0
        while self._spent < self._turn and (waiter := self._pop()):
            waiter.switch(None)
        if self._begin or self._go_on:
            self._next_turn.start(self._run_turn)

    def _pop(self):
        first, second = self._begin, self._go_on
        if not self._beginners_next:
            first, second = second, first
        self._beginners_next = not self._beginners_next
        queue = first or second
        return queue.popleft() if queue else None
