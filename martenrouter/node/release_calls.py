"""Calls to release what is held for a request: who is asked, how often, and what an answer shows.

Any server takes such a call for any request, does it at once and answers 204.
"""

from itertools import cycle

import gevent
from gevent.lock import BoundedSemaphore

from martenrouter.edge import clock
from martenrouter.edge.lines import Broke, Lines
from martenrouter.node.owed_releases import OwedReleases
from martenrouter.node.taken_attempts import TakenAttempts
from martenrouter.wire.platform import answers, messages

CHUNK = 64 * 1024  # bytes read at once
# seconds for one try: of the 300 ms in which a state has to go, and the 300 ms that sockets have more, two
# connections that never come up take 500, and two engines are to be tried in what is left
LET_GO_WITHIN = 0.05
ANSWERS_WITHIN = 0.1  # seconds for the answer to a call that shows whether a connection works
RELEASE_TRIES = 3  # where the next round follows soon
LET_GO_TRIES = 24  # a second and more in which engines don't answer


class ReleaseCalls(Lines):
    """Connections to servers, and calls to release over them."""

    def __init__(self, kept, connect_within, releases, counters, log):
        """`connect_within`: microseconds; `releases`: calls that may be out at once. `release_ended(engine,
        answered)` is set by the node."""
        super().__init__(kept, connect_within, counters)
        self.release_ended = lambda engine, answered: None
        self._releases_out = BoundedSemaphore(max(releases, 1))
        self.log, self.letting_go = log, 0
        # set by the node: whether a request waits for a state; whom to ask to release one
        self.state_wanted, self.release_order = lambda id: False, lambda: []
        self.owed = OwedReleases(
            max(releases // 2, 1), self._asked_to_let_go, self._release, self._wanted, counters, log
        )
        self.taken = TakenAttempts(max(releases // 4, 1), self._asked_to_let_go, counters)

    def _wanted(self, id):
        return self.state_wanted(id)

    def _release(self, id):
        """Whether some server answered a call to release this request's states."""
        order, still = self.release_order, lambda: not self.state_wanted(id)
        return self._let_go_now(id, None, order, still, RELEASE_TRIES) is not None

    def let_go(self, id, engine, others, after=(0,), still=lambda: True, answered=lambda at: None):
        """All that is held for the req is let go; `engine`, if any, is asked first, then `others()`, till one
        has answered. This is done at each of the seconds `after` now at which `still()`; `answered(at)` hears
        of each call that was answered, made at that time."""
        gevent.spawn(self._let_go, id, engine, others, after, still, answered)

    def _let_go(self, id, engine, others, after, still, answered):
        self.letting_go += 1
        begun = clock.now()
        try:
            for delay in after:
                gevent.sleep(max(begun / 1e6 + delay - clock.now() / 1e6, 0))
                asked_at = self._let_go_now(id, engine, others, still)
                if asked_at is not None:
                    answered(asked_at)
        finally:
            self.letting_go -= 1

    def _let_go_now(self, id, engine, others, still, tries=LET_GO_TRIES):
        """When the call was made that was answered; None where there was none."""
        asked, begun = [engine] if engine else [], clock.now()
        asked += [other for other in others() if other != engine]
        for n, other in zip(range(tries), cycle(asked)):
            with self._releases_out:
                # each time: an engine that does not answer takes 50 ms, in which a state that is wanted may
                # come to be
                if not still():
                    return None
                self.counters["let_go"] += not n
                asked_at = clock.now()
                answered = self._asked_to_let_go(id, other)
            self.release_ended(other, answered)
            if answered:
                self.log.info("release_answered", req=id, engine=other, tries=n + 1, took=clock.now() - begun)
                return asked_at
        if tries == LET_GO_TRIES:
            self.counters["let_go_failed"] += 1
            self.log.warning("let_go_failed", req=id, tries=tries)
        return None

    def _release_over(self, connection, id, engine):
        """Makes a call to release and reads its answer: whether the connection can be used again, None for an
        answer that can't be read. Raises Broke or OSError."""
        address = self.addresses.get(engine) or self.left.get(engine) or ("gone", 0)
        connection.sendall(answers.let_go(id, "%s:%d" % address))
        reader = messages.Answers()
        try:
            while True:
                data = connection.recv(CHUNK)
                if not data:
                    raise Broke("reset", "closed")
                events = [event[0] for event in reader.feed(data)]
                if "end" in events:
                    is_alone = events[-1] == "end" and events.count("end") == 1
                    return is_alone and not reader.inside and connection.quiet()
                if "bad" in events:
                    return None
        finally:
            reader.close()  # else it stays until the collector looks

    def _asked_to_let_go(self, id, engine, within=LET_GO_WITHIN):
        connection, clean, until = None, False, clock.now() + within * 1e6
        try:
            with gevent.Timeout(within):
                connection = self._connect(engine, also_left=True)
                clean = self._release_over(connection, id, engine)
            return clean is not None
        except (Broke, OSError, gevent.Timeout) as why:
            # a hung or lost engine must not hold up what another could do; no faster than its share of the
            # time
            self.counters["let_go_again"] += 1
            self.log.debug("let_go_again", req=id, engine=engine, why=str(why))
            gevent.sleep(min(max(until - clock.now(), 0) / 1e6, 0.01))
            return False
        finally:
            if connection is not None:
                if clean:
                    self._close(self.kept.give(clock.now(), engine, connection))
                else:
                    connection.close()

    def _id_to_release(self, f):
        """Of the request itself, unless it loses something by that; None where nothing is to be shown."""
        if not f.follows_left_state:
            return None
        others = (other for other in f.req.forwards.values() if other is not f)
        if f.req.holds or any(other.written is not None for other in others):
            return self.taken.served
        return f.req.id

    def _answers_over(self, connection, id, engine):
        """Whether a call to release was answered over the connection, which is closed if not."""
        answers_cleanly = False
        try:
            with gevent.Timeout(ANSWERS_WITHIN, False):
                answers_cleanly = self._release_over(connection, id, engine) and connection.quiet()
        except (Broke, OSError):
            pass  # closed by its server
        finally:
            if not answers_cleanly:
                connection.close()
        self.counters["connections_answered" if answers_cleanly else "connections_silent"] += 1
        return answers_cleanly
