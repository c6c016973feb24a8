"""The watch of the platform's list of servers: a connection to the agent that stays open, made anew when it
is silent. What happens on the way is told to the policy as a DiscoveryEvent."""

import gevent
from gevent.event import Event

from martenrouter.edge import clock
from martenrouter.edge.line import Line
from martenrouter.rules import DiscoveryEvent
from martenrouter.wire import http
from martenrouter.wire.platform import members, messages

SILENT = 2.5  # seconds between two lines: an empty one comes every 2 s
# Seconds. A change counts as told 6 s after the agent had it and could be reached, and 4 s after a new
# configuration. The agent answers at once: behind a call without a first line another is made after
# NEXT_CALL, twice that the next time, and so on; all are heard, up to ANSWERED_WITHIN, so that a slow agent
# is heard when it answers its first call. The longest chain: a watch falls silent (2.5), a call is refused
# (0.1), the one after is made (0.2) and hangs, and the next one, at the latest 2.7 s later, is answered.
NEXT_CALL, ANSWERED_WITHIN = 0.8, 5.0
CALLS = 3  # that are out at once
FIRST, LONGEST = 0.1, 0.3  # between a call that failed and the next
# A line that is on its way for longer than the silence limit is waited for as long as it moves on: a list of
# thousands of servers from a slow agent does, and bytes that only drip in do not
MOVES_ON = 2048  # bytes in each second
LINE_WITHIN = 20  # seconds for one line; twice that after each one that was slower


class Slow(Exception):
    """A line does not move on as a line does that comes to its end."""


class LineProgress:
    """Whether the line that is on its way moves on. All times are microseconds."""

    def __init__(self, silent, within):
        """`silent`: how long a line may take whatever its pace; `within`: how long at the most."""
        self._silent, self._within = silent, within
        self._begun = None  # when its first bytes came
        self._second, self._bytes = None, 0  # when the second that is looked at began, and its bytes

    def came(self, now, count):
        """`count` bytes of it came. Raises Slow."""
        if self._begun is None:
            self._begun = self._second = now
        self._bytes += count
        if now - self._begun > self._within:
            raise Slow("a line took over %d s" % (self._within // 1_000_000))
        if now - self._second >= 1_000_000:
            if now - self._begun > self._silent and self._bytes < MOVES_ON:
                raise Slow("a line drips in, %d bytes in its last second" % self._bytes)
            self._second, self._bytes = now, 0


class Call:
    """One call for the list; the first that is answered becomes the watch."""

    def __init__(self):
        self.greenlet = None
        self.bytes = 0  # of its answer that have come
        self.connected = False
        self.news_began = False  # whether a part of a line has been told of, up to that line's end


class Watch:
    def __init__(
        self, address, revision, told, counters, log, heard=lambda: None, noticed=lambda event: None
    ):
        """`address`: (host, port); `told(members.Told)` takes what comes, in order; `heard()` is called after
        each line, also an empty one; `noticed(DiscoveryEvent)` after all else that says something of the
        agent."""
        self.address, self.revision, self.told, self.heard = address, revision, told, heard
        self.noticed = noticed
        self.counters, self.log = counters, log
        self.greenlet = None
        self.line_within = LINE_WITHIN
        self._calls = []  # those that are out, oldest first
        self._answered = None  # the one that is the watch
        self._changed = Event()  # one was answered, or ended

    def start(self):
        self.greenlet = gevent.spawn(self._run)

    def move(self, address):
        """Another agent; the list that is held stays, and what changed since is asked for there. Returns
        whether it is another one."""
        if address == self.address:
            return False
        self.address = address
        self.greenlet.kill()
        # all of them have ended before the first call to the other agent is made
        gevent.killall([call.greenlet for call in self._calls])
        self._calls, self._answered = [], None
        self._changed.clear()
        self.start()
        return True

    def _run(self):
        try:
            while True:
                self._call_until_answered()
                while self._answered is not None:
                    self._changed.wait()
                    self._changed.clear()
                gevent.sleep(FIRST)
        finally:
            self._end_others(None)

    def _call_until_answered(self):
        wait, next_call, came = FIRST, NEXT_CALL, 0
        while self._answered is None:
            # a long list that moves on is not asked for twice
            moves_on = sum(call.bytes for call in self._calls) - came >= MOVES_ON * next_call
            if not self._calls or len(self._calls) < CALLS and not moves_on:
                self._begin_call()
            out, came = len(self._calls), sum(call.bytes for call in self._calls)
            ended = self._changed.wait(timeout=next_call)
            self._changed.clear()
            if self._answered is None and ended and len(self._calls) < out:
                gevent.sleep(wait)  # it was refused or closed: that says nothing of a slow agent
                wait = min(2 * wait, LONGEST)
            elif not ended:
                next_call = min(2 * next_call, ANSWERED_WITHIN)

    def _begin_call(self):
        call = Call()
        self._calls.append(call)
        call.greenlet = gevent.spawn(self._carry, call)

    def _carry(self, call):
        try:
            self._follow(call)
        except (Exception, gevent.Timeout) as why:
            # whatever it was, this node's own fault too: without a watch every drain would be broken from
            # here on
            self.counters["watch_broken"] += 1
            self.log.info("watch_broken", why="%s: %s" % (type(why).__name__, why))
            event = self._shown_by_end(call, why)
            if event is not None:
                self.noticed(event)
        finally:
            self._calls = [other for other in self._calls if other is not call]
            if self._answered is call:
                self._answered = None
            self._changed.set()

    @staticmethod
    def _shown_by_end(call, why):
        """What the end of a call shows of the agent: a DiscoveryEvent, None where it was only silent or this
        machine failed."""
        if isinstance(why, (gevent.Timeout, Slow)):
            return None
        if call.connected:
            return DiscoveryEvent.CALL_ENDED
        refused = isinstance(why, ConnectionRefusedError)
        return DiscoveryEvent.CALL_REFUSED if refused else None

    def _is_answered(self, call):
        """The call's first line came: it is the watch."""
        if self._answered is not call:
            self._end_others(call)
            self._answered = call
            self._changed.set()

    def _end_others(self, call):
        for other in self._calls:
            if other is not call:
                other.greenlet.kill(block=False)

    def _follow(self, call):
        line, reader, lines = None, messages.Lasting(), members.Lines()
        patience = ANSWERED_WITHIN  # seconds to the first bytes, and between bytes up to the first line's end
        progress = LineProgress(patience * 1e6, self.line_within * 1e6)
        silence = gevent.Timeout.start_new(patience)
        try:
            line = Line(self.address, patience)
            call.connected = True
            self.noticed(DiscoveryEvent.CALL_CONNECTED)
            line.sendall(http.request("GET", members.whole(self.revision), "%s:%d" % self.address, ()))
            while True:
                data = line.recv(64 * 1024)
                if not data:
                    raise OSError("closed by the agent")
                call.bytes += len(data)
                for event in reader.feed(data):
                    if event[0] == "body":
                        self._take(call, lines, event[1])
                    elif event[0] == "head" and event[1].status != 200:
                        raise http.BadBytes("status %d" % event[1].status)
                    elif event[0] == "bad":
                        raise http.BadBytes(event[1])
                    elif event[0] == "end":
                        raise OSError("ended by the agent")
                if lines.count:
                    # whole lines alone show that the watch lives, not bytes of one that never ends
                    lines.count, call.news_began = 0, False
                    self.line_within, patience = LINE_WITHIN, SILENT
                    progress = LineProgress(patience * 1e6, self.line_within * 1e6)
                    if not lines.inside:
                        self.heard()
                else:
                    progress.came(clock.now(), len(data))
                if not call.news_began and lines.begun:
                    call.news_began = True
                    self.noticed(DiscoveryEvent.NEWS_BEGAN)
                silence.close()
                silence = gevent.Timeout.start_new(patience)
        except Slow:
            self.line_within *= 2
            raise
        finally:
            silence.close()
            if line is not None:
                line.close()

    def _take(self, call, lines, data):
        whole = lines.feed(data)
        if lines.count and not lines.inside:
            self._is_answered(call)
        for told in whole:
            message = members.told(told)
            self.told(message)
            self.revision = message.revision  # not before: what failed to be taken in is asked for again
