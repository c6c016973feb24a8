"""How a program that another one started ends with it."""

import gc
import os
import sys
import threading

import gevent
from gevent import os as gevent_os


def stop_with_stdin():
    """Ends this process at once when its standard input ends, as it does when its starter dies, however it
    dies."""

    def watch():
        descriptor = sys.stdin.fileno()
        gevent_os.make_nonblocking(descriptor)
        while gevent_os.nb_read(descriptor, 4096):
            pass
        os._exit(0)

    gevent.spawn(watch)


def end_with_stdin():
    """The same for a program without a gevent loop."""

    def watch():
        while os.read(sys.stdin.fileno(), 4096):
            pass
        os._exit(0)

    threading.Thread(target=watch, daemon=True).start()


def settle_memory(objects=50_000):
    """What is loaded by now lives as long as the process, and what a req leaves is freed by count: the
    collector of cycles need not look often. 50,000 new objects are some hundred reqs; a look then costs under
    a millisecond."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(objects, 20, 100)
