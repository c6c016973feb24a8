"""How much of the machine's memory this process holds, as the system counts it."""

import os

STATM = "/proc/self/statm"  # proc(5): sizes in pages, of which the second is the resident one
STATM_MOST = 256  # bytes that it may have
PAGE = os.sysconf("SC_PAGE_SIZE")


class ProcessMemory:
    """Reads it again and again over one descriptor, as there may be none left when memory is short."""

    def __init__(self, path=STATM):
        try:
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = None

    def resident(self):
        """Bytes of memory that are resident; None where the system doesn't say."""
        if self._descriptor is None:
            return None
        try:
            return int(os.pread(self._descriptor, STATM_MOST, 0).split()[1]) * PAGE
        except (OSError, ValueError, IndexError):
            return None

    def close(self):
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
