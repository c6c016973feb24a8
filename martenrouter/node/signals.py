"""Signals that come before a node can act on them, and after: the system's own answer to each would end the
process, as if it had crashed."""

import signal
import sys


class Early:
    """Stands until the node's own handlers do. `caught`: a SIGHUP came, so the file is to be read again."""

    def __init__(self):
        self.caught = False
        signal.signal(signal.SIGHUP, self._reload)
        signal.signal(signal.SIGTERM, self._end)

    def _reload(self, *_):
        self.caught = True

    @staticmethod
    def _end(*_):
        """Nothing has been taken yet."""
        ignore_from_now_on()
        sys.exit(0)


def ignore_from_now_on():
    """For a process that is ending anyway. Python gives handlers of its own back before it has ended, an
    ignored signal stays ignored."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)
