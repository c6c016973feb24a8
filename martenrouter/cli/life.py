"""How a program that another one started ends with it."""
import os
import sys

import gevent
from gevent import os as gevent_os


def stop_with_stdin():
    """Ends this process at once when its standard input ends, as it does when its starter dies, however it dies."""
    def watch():
        descriptor = sys.stdin.fileno()
        gevent_os.make_nonblocking(descriptor)
        while gevent_os.nb_read(descriptor, 4096):
            pass
        os._exit(0)
    gevent.spawn(watch)
