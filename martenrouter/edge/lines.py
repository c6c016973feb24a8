"""Connections to engines by the engines' ids: kept ones first, new ones within a bound, none to what left.

A connection that its engine closed, or on which it sent what nobody asked for, is not used again.
"""

import gevent

from martenrouter.edge import clock
from martenrouter.edge.line import Line
from martenrouter.edge.system_errors import is_local


class Stopped(gevent.GreenletExit):
    """The forward was cancelled or timed out; its end has been said already."""


class Broke(Exception):
    """The connection or the answer failed; `ending` in the module's words."""

    def __init__(self, ending, why):
        super().__init__(why)
        self.ending, self.why = ending, why


class Lines:
    local_ending = "unreachable"  # of an attempt for which this machine could make no connection

    def __init__(self, kept, connect_within, counters):
        """`kept`: decisions.connections.Connections; `connect_within` in microseconds."""
        self.kept, self.connect_within, self.counters = kept, connect_within / 1e6, counters
        self.addresses = {}  # engine -> (host, port)
        # of engines that left the list: what is still held there is let go, nothing else is sent
        self.left = {}

    def moved(self, changed):
        """News of addresses; connections to a process that left are closed."""
        for id, told in changed.items():
            host, _, port = (told or "").rpartition(":")
            address = (host, int(port)) if told else None
            if self.addresses.get(id) != address:
                self._close(self.kept.forget(id))
            if address:
                self.addresses[id] = address
                self.left.pop(id, None)
            elif id in self.addresses:
                self.left[id] = self.addresses.pop(id)
                while len(self.left) > 1000:
                    del self.left[next(iter(self.left))]

    def sweep(self):
        self._close(self.kept.sweep(clock.now()))

    def _close(self, connections):
        for connection in connections:
            connection.close()

    def _connect(self, engine, also_left=False, within=None, fresh=False):
        """A kept connection, unless it is to be a `fresh` one, else a new one within `within` seconds (else
        the settings' limit). Raises Broke."""
        while not fresh:
            connection, closing = self.kept.take(clock.now(), engine)
            self._close(closing)
            if connection is None:
                break
            if connection.quiet():
                self.counters["connection_reused"] += 1
                return connection
            connection.close()  # the engine closed it, or sent what nobody asked for
        address = self.addresses.get(engine) or also_left and self.left.get(engine)
        if not address:
            raise Broke("unreachable", "no address")
        try:
            connection = Line(address, within or self.connect_within)
        except OSError as why:
            raise Broke(self.local_ending if is_local(why) else "unreachable", str(why)) from why
        self.counters["connection_opened"] += 1
        return connection

    def stop(self, forward):
        """Closes a forward that is out, of which the end has been said already, whatever its greenlet had got
        to."""
        greenlet = forward.greenlet
        if greenlet is not None and greenlet is not gevent.getcurrent():
            greenlet.kill(Stopped, block=False)
