"""Bad clients of the pages: each sends a head without end, at full speed, reads what it is sent, and comes
again as soon as it is turned away.

    python bad_heads.py HOST PORT CLIENTS SECONDS
"""

import selectors
import socket
import sys
import time

START = b"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
LINES = b"".join(b"a: %d\r\n" % (n % 10) for n in range(11000))  # 64 KB and more of head lines


class Bad:
    def __init__(self, address):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)
        self.left = memoryview(START + LINES)
        self.begun = time.monotonic()


def main(host, port, clients, seconds):
    address, watch, until = (host, int(port)), selectors.DefaultSelector(), time.monotonic() + float(seconds)
    turned_away = 0

    def begin():
        bad = Bad(address)
        watch.register(bad.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, bad)

    def end(bad):
        watch.unregister(bad.sock)
        bad.sock.close()

    for _ in range(int(clients)):
        begin()
    while time.monotonic() < until:
        for key, events in watch.select(0.1):
            bad = key.data
            try:
                if events & selectors.EVENT_READ:
                    if not bad.sock.recv(65536):
                        raise ConnectionResetError
                elif events & selectors.EVENT_WRITE:
                    if not bad.left:
                        bad.left = memoryview(LINES)
                    sent = bad.sock.send(bad.left)
                    bad.left = bad.left[sent:]
            except BlockingIOError:
                continue
            except OSError:
                turned_away += 1
                end(bad)
                begin()
    print("turned away: %d" % turned_away)


if __name__ == "__main__":
    main(*sys.argv[1:])
