"""The watch of the platform's list of engines: a connection to the agent that stays open, made anew when it
is silent."""

import gevent

from martenrouter.edge.line import Line
from martenrouter.wire import http
from martenrouter.wire.platform import members, messages

SILENT = 2.5  # seconds between two lines: an empty one comes every 2 s
# Seconds. A change counts as told 6 s after the agent had it and could be reached, whatever failed before.
# The agent answers at once: a call without a first line is given up after AT_FIRST, twice that the next time,
# up to SILENT where the agent is slow. The longest chain: a watch falls silent (2.5), a call is refused
# (0.1), the next hangs (0.2 + 0.8), one more does (0.3 + 1.6), and the one after (0.3), 5.8 s after the last
# line, is answered. After an outage: a call that hangs across its end and one wait.
AT_FIRST = 0.8
FIRST, LONGEST = 0.1, 0.3  # between tries


class Watch:
    def __init__(self, address, revision, told, counters, log):
        """`address`: (host, port); `told(members.Told)` takes what comes, in order."""
        self.address, self.revision, self.told, self.counters, self.log = (
            address,
            revision,
            told,
            counters,
            log,
        )
        self.greenlet, self.lines = None, 0  # lines: how many whole ones have come

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
            patience = min(2 * patience, SILENT) if hung and self.lines == begun else patience

    def _follow(self, patience):
        line, reader, lines = None, messages.Lasting(), members.Lines()
        silence = gevent.Timeout.start_new(patience)
        try:
            line = Line(self.address, SILENT)
            line.sendall(http.request("GET", members.whole(self.revision), "%s:%d" % self.address, ()))
            while True:
                data = line.recv(64 * 1024)
                if not data:
                    raise OSError("closed by the agent")
                for event in reader.feed(data):
                    if event[0] == "head" and event[1].status != 200:
                        raise http.BadBytes("status %d" % event[1].status)
                    if event[0] == "bad":
                        raise http.BadBytes(event[1])
                    if event[0] == "body":
                        for told in lines.feed(event[1]):
                            message = members.told(told)
                            self.told(message)
                            self.revision = (
                                message.revision
                            )  # not before: what failed to be taken in is asked for again
                        if lines.count:
                            # whole lines alone show that the watch lives, not bytes of one that never ends
                            self.lines, lines.count = self.lines + lines.count, 0
                            silence.close()
                            silence = gevent.Timeout.start_new(SILENT)
                    if event[0] == "end":
                        raise OSError("ended by the agent")
        finally:
            silence.close()
            if line is not None:
                line.close()
