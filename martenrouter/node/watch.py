"""The watch of the platform's list of engines: a connection to the agent that stays open, made anew when it is silent."""
import gevent

from martenrouter.edge import clock
from martenrouter.edge.line import Line
from martenrouter.wire import http
from martenrouter.wire.platform import members, messages

SILENT = 2.6            # seconds: an empty line comes every 2 s, and after 6 s of silence all counts as told
FIRST, LONGEST = 0.1, 1.0  # seconds between tries: the agent answers at no cost, and news must not wait for long


class Watch:
    def __init__(self, address, revision, told, counters, log):
        """`address`: (host, port); `told(members.Told)` takes what comes, in order."""
        self.address, self.revision, self.told, self.counters, self.log = address, revision, told, counters, log
        self.greenlet, self.heard = None, 0

    def start(self):
        self.greenlet = gevent.spawn(self._run)

    def move(self, address):
        """Another agent; the list that is held stays, and what changed since is asked for there."""
        if address != self.address:
            self.address = address
            self.greenlet.kill(block=False)
            self.start()

    def _run(self):
        wait = FIRST
        while True:
            try:
                self._follow()
            except (Exception, gevent.Timeout) as why:
                # whatever it was, this node's own fault too: without a watch every drain would be broken from here on
                self.counters["watch_broken"] += 1
                self.log.info("watch_broken", why="%s: %s" % (type(why).__name__, why))
                if clock.now() - self.heard < 1e6:
                    wait = FIRST
            gevent.sleep(wait)
            wait = min(2 * wait, LONGEST)

    def _follow(self):
        line, reader, lines = None, messages.Lasting(), members.Lines()
        try:
            with gevent.Timeout(SILENT):
                line = Line(self.address, SILENT)
                line.sendall(http.request("GET", members.whole(self.revision), "%s:%d" % self.address, ()))
            while True:
                with gevent.Timeout(SILENT):
                    data = line.recv(64 * 1024)
                if not data:
                    raise OSError("closed by the agent")
                for event in reader.feed(data):
                    if event[0] == "head" and event[1].status != 200:
                        raise http.BadBytes("status %d" % event[1].status)
                    if event[0] == "bad":
                        raise http.BadBytes(event[1])
                    for told in lines.feed(event[1]) if event[0] == "body" else ():
                        message = members.told(told)
                        self.heard, self.revision = clock.now(), message.revision
                        self.told(message)
                    if event[0] == "end":
                        raise OSError("ended by the agent")
        finally:
            if line is not None:
                line.close()
