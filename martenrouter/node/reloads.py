"""New configurations while the node runs: SIGHUP moves discovery to where the file says; all else of it needs
a start.

A bad file changes nothing. As it may be half written just now, it is looked at again: for half a second
before that is said, and for some seconds more, or to the next signal, after that.
"""

import gevent

from martenrouter.edge import clock
from martenrouter.rules import DiscoveryEvent
from martenrouter.settings import told
from martenrouter.wire.platform import configuration as codec

UNREADABLE = 5  # looks at a new configuration that can't be read, 0.1 s apart, before that is said
LOOK_EACH = 0.1  # seconds
SLOWLY_WRITTEN = 10  # seconds for which it is looked at after that
LATER_EACH = 0.25  # seconds


class Reloads:
    def __init__(self, read, move, noticed, counters, log):
        """`read()` gives the configuration, or raises what says why it can't be used; `move(address)` moves
        the watch and tells whether that changes anything; `noticed(DiscoveryEvent)` is told of both."""
        self._read, self._move, self._noticed = read, move, noticed
        self._counters, self._log = counters, log
        self._signals = 0  # how many have come

    def signalled(self):
        self._signals += 1
        self._noticed(DiscoveryEvent.RELOAD_ASKED)
        for _ in range(UNREADABLE):
            if self._why_not() is None:
                return
            gevent.sleep(LOOK_EACH)
        why = self._why_not()
        if why is not None:
            self._log.error(
                "configuration_refused",
                why=why,
                mend="the old one stays; mend the file within %d s, or signal again" % SLOWLY_WRITTEN,
            )
            gevent.spawn(self._look_on, self._signals)

    def _look_on(self, signal):
        until = clock.now() + SLOWLY_WRITTEN * 1_000_000
        while clock.now() < until:
            gevent.sleep(LATER_EACH)
            if signal != self._signals or self._why_not() is None:
                return

    def _why_not(self):
        """Why the file can't be used; None if it is."""
        try:
            settings = self._read()
            told.from_nested(settings.settings)
            address = codec.address(settings.discovery, "$.discovery")
        except (codec.Unreadable, told.Unreadable, OSError) as why:
            return str(why)
        self._counters["reloaded"] += 1
        self._log.info("reloaded", discovery=settings.discovery)
        moved = self._move(address)
        self._noticed(DiscoveryEvent.AGENT_MOVED if moved else DiscoveryEvent.RELOAD_ENDED)
        return None
