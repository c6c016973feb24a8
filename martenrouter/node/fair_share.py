"""Shares the time that this process spends on clients' bytes: in each turn of the event loop connections read
a part each, one after the other, and what does not fit into the turn waits for the next.

Between turns everything else goes on, so that no client's bytes, however many there are and however they are
cut, hold up answers, deadlines or the bytes of others for longer than a turn.
"""

import collections

import gevent
from gevent.hub import Waiter

from martenrouter.edge import clock

NEXT_TURN = 1e-6  # seconds: a timer that is due looks for events and timers of others first


class FairShare:
    """`turns`: arrivals.LoopTurns; `most`: microseconds of one turn that are spent on clients' bytes."""

    def __init__(self, turns, most):
        self._turns, self._most = turns, most
        # who waits to begin a request, and who to go on with one; served in turn, so that neither a crowd of
        # new requests nor endless ones hold up the others
        self._begin, self._go_on = collections.deque(), collections.deque()
        self._beginners_next = True
        self._turn, self._spent = 0, 0  # the turn's number, and microseconds spent in it
        self._next_turn = gevent.get_hub().loop.timer(NEXT_TURN)

    def wait_for_turn(self, begins):
        """`begins`: whether a request begins with what is to be read. Returns what `took` is to be told."""
        if self._turn != self._turns.number:
            self._turn, self._spent = self._turns.number, 0
        if self._begin or self._go_on or self._spent >= self._most:
            self._wait(self._begin if begins else self._go_on)
        return clock.now()

    def took(self, begun):
        """What was read in the turn that began then has been taken in."""
        self._spent += clock.now() - begun

    def _wait(self, queue):
        waiter = Waiter()
        queue.append(waiter)
        if not self._next_turn.active:
            self._next_turn.start(self._run_turn)
        waiter.get()

    def _run_turn(self):
        """Called by the loop; those that are woken run until they wait for something."""
        self._turn, self._spent = self._turns.number, 0
        while self._spent < self._most and (waiter := self._pop()):
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
