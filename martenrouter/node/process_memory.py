"""How much of the machine's memory this process holds, as the system counts it, and what is given back."""

import ctypes
import os

STATM = "/proc/self/statm"  # proc(5): sizes in pages, of which the second is the resident one
STATM_MOST = 256  # bytes that it may have
PAGE = os.sysconf("SC_PAGE_SIZE")

# mallopt(3). Without them the allocator raises both as large buffers come and go, and keeps megabytes of them
TRIM_THRESHOLD, MMAP_THRESHOLD = -1, -3
KEPT_AT_TOP = 128 * 1024  # bytes
LARGE = 128 * 1024  # bytes from which a buffer is given back by itself; twice what is read at once


def _allocator(name):
    """A function of the C library's allocator; None where it has none of that name."""
    try:
        return getattr(ctypes.CDLL(None), name)
    except (OSError, AttributeError):
        return None


def limit_allocator():
    """Has the allocator give large buffers back to the system once they are free, where it can."""
    mallopt = _allocator("mallopt")
    if mallopt is not None:
        mallopt(TRIM_THRESHOLD, KEPT_AT_TOP)
        mallopt(MMAP_THRESHOLD, LARGE)


class ProcessMemory:
    """Reads it again and again over one descriptor, as there may be none left when memory is short."""

    def __init__(self, path=STATM):
        try:
            self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = None
        self._trim = _allocator("malloc_trim")

    def resident(self):
        """Bytes of memory that are resident; None where the system doesn't say."""
        if self._descriptor is None:
            return None
        try:
            return int(os.pread(self._descriptor, STATM_MOST, 0).split()[1]) * PAGE
        except (OSError, ValueError, IndexError):
            return None

    def trim(self):
        """Gives back to the system what is free, where it can."""
        if self._trim is not None:
            self._trim(0)

    def close(self):
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
