"""Signals that come before a node can act on them: until then the system's own answer to SIGHUP would end the
process."""

import signal
import sys


class Early:
    """Stands until the node's own handlers do. `caught`: a SIGHUP came, so the file is to be read again."""

    def __init__(self):
        self.caught = False
        signal.signal(signal.SIGHUP, self._reload)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))  # nothing has been taken yet

    def _reload(self, *_):
        self.caught = True
