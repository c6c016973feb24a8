"""Bad clients of the pages, by hundreds: each sends a request whose body can't be read, at full speed, reads
what it is sent, and sends the same again as soon as it is turned away. Standard library only.

    python crowd_standin.py PORT CLIENTS SECONDS BYTES

Each keeps its connection for as long as the front node does, and comes again on a new one after that.
"""

import selectors
import socket
import sys
import time


def request(n, size):
    """A sound head of the platform; its body is no JSON."""
    body = b'{"messages":' + b"x" * size
    lines = (
        "POST /v1/chat/completions HTTP/1.1",
        "Host: service.internal",
        "X-Request-ID: bad%013x" % n,
        "X-Priority-Class: chat",
        "X-Timeout-Ms: 2000",
        "Content-Length: %d" % len(body),
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Bad:
    def __init__(self, address, n, data):
        self.n, self.data, self.got, self.left = n, data, b"", memoryview(data)
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)

    def answered(self):
        """Whether a whole answer of the front node's own has come."""
        head, blank, body = self.got.partition(b"\r\n\r\n")
        if not blank:
            return False
        told = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return bool(told) and len(body) >= int(told[0].partition(b":")[2])

    def ends(self):
        """Whether the front node says that it ends the connection."""
        return b"\r\nconnection: close" in self.got.lower()


class Crowd:
    def __init__(self, port, size):
        self.address, self.size, self.watch = ("127.0.0.1", port), size, selectors.DefaultSelector()
        self.turned_away = self.begun = 0

    def begin(self, n):
        self.begun += 1
        bad = Bad(self.address, n, request(n, self.size))
        self.watch.register(bad.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, bad)

    def come_again(self, bad):
        self.watch.unregister(bad.sock)
        bad.sock.close()
        self.begin(bad.n)

    def act(self, bad, events):
        if events & selectors.EVENT_READ:
            data = bad.sock.recv(65536)
            if not data:
                raise ConnectionResetError
            bad.got += data
            if bad.answered() and not bad.ends():
                self.turned_away += 1
                bad.got, bad.left = b"", memoryview(bad.data)
                self.watch.modify(bad.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, bad)
        if events & selectors.EVENT_WRITE and bad.left:
            bad.left = bad.left[bad.sock.send(bad.left) :]
            if not bad.left:
                self.watch.modify(bad.sock, selectors.EVENT_READ, bad)

    def run(self, clients, seconds):
        until = time.monotonic() + seconds
        for n in range(clients):
            self.begin(n)
        while time.monotonic() < until:
            for key, events in self.watch.select(0.1):
                try:
                    self.act(key.data, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self.come_again(key.data)
        print("%d times turned away, %d connections" % (self.turned_away, self.begun), flush=True)


def main(port, clients, seconds, size):
    Crowd(int(port), int(size)).run(int(clients), float(seconds))


if __name__ == "__main__":
    main(*sys.argv[1:])
