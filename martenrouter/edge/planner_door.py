"""Where a planner connects: a Unix socket that only this user may open. One planner at a time; a second one
is refused."""

import os
import stat

import gevent
from gevent import socket

from martenrouter.wire import channel

SEND_WITHIN = (
    1.0  # seconds: a planner that reads nothing for that long is gone; takeover is judged by its answers
)


class Link:
    def __init__(self, sock, name):
        self.sock, self.name = sock, name

    def send(self, message):
        """False when it can't be sent: the planner is gone, or its socket stays full."""
        data = channel.encode(message)
        try:
            with gevent.Timeout(SEND_WITHIN, OSError("full")):
                self.sock.sendall(data)
            return True
        except OSError:
            return False

    def close(self):
        self.sock.close()


class PlannerDoor:
    def __init__(self, path, desk, welcome, counters, log):
        self.path, self.desk, self.welcome = path, desk, welcome
        self.counters, self.log = counters, log
        self.link, self.listener = None, None

    def start(self):
        """Raises OSError, also when another edge listens there; a stale socket file is removed."""
        if os.path.exists(self.path):
            if not stat.S_ISSOCK(os.stat(self.path).st_mode):
                raise OSError("%s is there and is no socket; remove it or name another path" % self.path)
            try:
                with socket.socket(socket.AF_UNIX) as probe:
                    probe.settimeout(0.5)
                    probe.connect(self.path)
                raise OSError("another edge listens on %s" % self.path)
            except ConnectionRefusedError:
                os.unlink(self.path)
        before = os.umask(0o177)
        try:
            self.listener = socket.socket(socket.AF_UNIX)
            self.listener.bind(self.path)
        finally:
            os.umask(before)
        self.listener.listen(8)
        gevent.spawn(self._accept)

    def stop(self):
        self.listener.close()
        try:
            os.unlink(self.path)
        except OSError:
            pass

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            gevent.spawn(self._serve, sock)

    def _serve(self, sock):
        frames, link = channel.Frames(), None
        try:
            while True:
                data = sock.recv(256 * 1024)
                if not data:
                    return
                for message in frames.feed(data):
                    if link is None:
                        link = self._greeted(sock, message)
                        if link is None:
                            return
                    elif isinstance(message, channel.Decisions):
                        self.desk.answered(link, message)
                    else:
                        raise channel.BadFrame("%s is not for an edge" % type(message).__name__)
        except channel.BadFrame as why:
            self.counters["channel_broken"] += 1
            self.log.warning("channel_broken", why=str(why), mend="the planner connects again")
        except OSError:
            pass
        finally:
            if link is not None:
                if self.link is link:
                    self.link = None
                self.desk.planner_left(link)
            sock.close()

    def _greeted(self, sock, message):
        reason = None
        if not isinstance(message, channel.Greeting):
            raise channel.BadFrame("a planner greets first, with %s" % type(message).__name__)
        if message.version != channel.VERSION:
            reason = "version %d; this edge speaks %d" % (message.version, channel.VERSION)
        elif self.link is not None:
            reason = "planner %s is connected" % self.link.name
        link = Link(sock, message.planner)
        if reason:
            self.counters["planner_refused"] += 1
            self.log.warning("planner_refused", planner=message.planner, why=reason)
            link.send(channel.Refused(reason))
            return None
        self.link = link
        link.send(self.welcome)
        self.desk.planner_came(link)
        return link
