"""The watch of the platform's list of servers: a connection to the agent that stays open, made anew when it
is silent."""

import gevent

from martenrouter.edge import clock
from martenrouter.edge.line import Line
from martenrouter.wire import http
from martenrouter.wire.platform import members, messages

SILENT = 2.5  # seconds between two lines: an empty one comes every 2 s
# Seconds. A change counts as told 6 s after the agent had it and could be reached, whatever failed before.
# The agent answers at once: a call without a first line is given up after AT_FIRST, twice that the next time,
# up to AT_LAST where the agent is slow. The longest chain: a watch falls silent (2.5), a call is refused
# (0.1), the next hangs (0.2 + 0.8), one more does (0.3 + 1.6), and the one after (0.3), 5.8 s after the last
# line, is answered. After an outage: a call that hangs across its end and one wait, 5.3 s.
AT_FIRST, AT_LAST = 0.8, 5.0
FIRST, LONGEST = 0.1, 0.3  # between tries
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


class Watch:
    def __init__(self, address, revision, told, counters, log, heard=lambda: None):
        """`address`: (host, port); `told(members.Told)` takes what comes, in order; `heard()` is called after
        each line, also an empty one."""
        self.address, self.revision, self.told, self.heard = address, revision, told, heard
        self.counters, self.log = counters, log
        self.greenlet, self.lines = None, 0  # lines: how many whole ones have come
        self.line_within = LINE_WITHIN

    def start(self):
        self.greenlet = gevent.spawn(self._run)

    def move(self, address):
        """Another agent; the list that is held stays, and what changed since is asked for there."""
        if address != self.address:
            self.address = address
            self.greenlet.kill(block=False)
            self.start()

    def _run(self):
        wait, patience = FIRST, AT_FIRST
        while True:
            begun, hung = self.lines, False
            try:
                self._follow(patience)
            except (Exception, gevent.Timeout) as why:
                # whatever it was, this node's own fault too: without a watch every drain would be broken from
                # here on
                hung = isinstance(why, gevent.Timeout)  # a refusal says nothing of a slow agent
                self.counters["watch_broken"] += 1
                self.log.info("watch_broken", why="%s: %s" % (type(why).__name__, why))
            if self.lines > begun:  # it had been answered
                wait, patience = FIRST, AT_FIRST
            gevent.sleep(wait)
            wait = min(2 * wait, LONGEST)
            patience = min(2 * patience, AT_LAST) if hung and self.lines == begun else patience

    def _follow(self, patience):
        """`patience`: seconds to the first bytes, and between bytes up to the end of the first line."""
        line, reader, lines = None, messages.Lasting(), members.Lines()
        progress = LineProgress(patience * 1e6, self.line_within * 1e6)
        silence = gevent.Timeout.start_new(patience)
        try:
            line = Line(self.address, patience)
            line.sendall(http.request("GET", members.whole(self.revision), "%s:%d" % self.address, ()))
            while True:
                data = line.recv(64 * 1024)
                if not data:
                    raise OSError("closed by the agent")
                for event in reader.feed(data):
                    if event[0] == "body":
                        self._take(lines.feed(event[1]))
                    elif event[0] == "head" and event[1].status != 200:
                        raise http.BadBytes("status %d" % event[1].status)
                    elif event[0] == "bad":
                        raise http.BadBytes(event[1])
                    elif event[0] == "end":
                        raise OSError("ended by the agent")
                if lines.count:
                    # whole lines alone show that the watch lives, not bytes of one that never ends
                    self.lines, lines.count = self.lines + lines.count, 0
                    self.line_within, patience = LINE_WITHIN, SILENT
                    progress = LineProgress(patience * 1e6, self.line_within * 1e6)
                    self.heard()
                else:
                    progress.came(clock.now(), len(data))
                silence.close()
                silence = gevent.Timeout.start_new(patience)
        except Slow:
            self.line_within *= 2
            raise
        finally:
            silence.close()
            if line is not None:
                line.close()

    def _take(self, whole):
        for told in whole:
            message = members.told(told)
            self.told(message)
            self.revision = message.revision  # not before: what failed to be taken in is asked for again
