"""Bad clients of one shape, in a process of their own: `python -m tests.sockets.bad_clients SHAPE PORT COUNT
SECONDS`. They send as fast as they can, read what they are sent, and come again when they are turned away.
"""

import argparse
import itertools
import selectors
import socket
import time

READ_AT_ONCE = 64 * 1024
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
ID = "X-Request-ID: %016x\r\nX-Priority-Class: chat\r\nX-Timeout-Ms: 2000\r\n"
NUMBERS = itertools.count(0xBAD00000)
HALF_BODY = 250_000  # bytes of 256 KiB


def sound_head(more=""):
    return HEAD + (ID % next(NUMBERS) + more).encode()


def endless(first, rest):
    """Bytes without end: `first`, then `rest` again and again."""
    yield first
    while True:
        yield rest


def short_lines():
    return endless(HEAD, b"".join(b"a: %d\r\n" % (n % 10) for n in range(11_000)))


def empty_lines():
    return endless(b"", b"\r\n" * 32_768)


def one_byte_chunks(byte=b"x"):
    return endless(sound_head("Transfer-Encoding: chunked\r\n\r\n"), (b"1\r\n%s\r\n" % byte) * 10_000)


def zero_chunks():
    """Each chunk's byte looks like the last chunk's size."""
    return one_byte_chunks(b"0")


def probes():
    return endless(b"", b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 1_000)


def unsound_bodies():
    """Small requests whose bodies are no chat completion, under ever new names."""
    while True:
        yield b"".join(
            sound_head("X-Tenant-Id: t%d\r\nX-Route-Key: k%d\r\nContent-Length: 2\r\n\r\n" % (n, n)) + b"{}"
            for n in (next(NUMBERS) for _ in range(200))
        )


def sound_requests():
    """Small requests that are served, under ever new ids, sessions, customers and prefixes."""
    body = b'{"messages":[]}'
    names = "X-Tenant-Id: t%d\r\nX-Route-Key: k%d\r\nX-Attrs: prefix=%x,prefix_len=20,max_out=5\r\n"
    while True:
        n = next(NUMBERS)
        yield sound_head((names + "Content-Length: %d\r\n\r\n") % (n, n, n, len(body))) + body


def unsound_heads():
    """Small requests of an unknown class, each of which is refused with its connection."""
    return endless(HEAD + b"X-Request-ID: a\r\nX-Priority-Class: none\r\nContent-Length: 0\r\n\r\n", b"\r\n")


def many_fields():
    """Half a head of thousands of short fields, all with names of their own."""
    yield HEAD + b"".join(b"f%x: %d\r\n" % (n, n % 10) for n in range(8_000))


def half_bodies():
    yield sound_head("Content-Length: 262144\r\n\r\n") + b"x" * HALF_BODY


def half_heads():
    yield HEAD + b"".join(b"f%x: %s\r\n" % (n, b"x" * 600) for n in range(90))


def slow_writers():
    """Half a head in one go, then a byte now and then."""
    yield HEAD


def long_answers():
    """A sound request whose answer is long; it is read slowly."""
    body = b'{"messages":[{"role":"user","content":"long"}],"stream":true,"max_tokens":9}'
    yield sound_head("Content-Length: %d\r\n\r\n" % len(body)) + body


SHAPES = {
    shape.__name__: shape
    for shape in (
        short_lines,
        empty_lines,
        one_byte_chunks,
        zero_chunks,
        probes,
        unsound_bodies,
        sound_requests,
        unsound_heads,
        many_fields,
        half_bodies,
        half_heads,
        slow_writers,
        long_answers,
    )
}
READS_SLOWLY = {"long_answers"}


class BadClient:
    def __init__(self, shape, port):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if shape in READS_SLOWLY:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect_ex(("127.0.0.1", port))
        self._parts, self._left = SHAPES[shape](), memoryview(b"")

    def write(self):
        """Whether there is more to send. Raises OSError."""
        if not self._left:
            part = next(self._parts, None)
            if part is None:
                return False
            self._left = memoryview(part)
        self._left = self._left[self.sock.send(self._left) :]
        return True


class Crowd:
    """`count` clients that come again as soon as they are turned away."""

    def __init__(self, shape, port, count):
        self._shape, self._port = shape, port
        self._watch, self.turned_away = selectors.DefaultSelector(), 0
        self._waiting = []  # clients that read nothing
        self._reads = selectors.EVENT_READ if shape not in READS_SLOWLY else 0
        for _ in range(count):
            self._begin()

    def _begin(self):
        client = BadClient(self._shape, self._port)
        self._watch.register(client.sock, selectors.EVENT_WRITE | self._reads, client)

    def play(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for key, events in self._watch.select(0.1):
                try:
                    self._act(key.data, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self._come_again(key.data)

    def _act(self, client, events):
        if events & selectors.EVENT_READ:
            if not client.sock.recv(READ_AT_ONCE):
                raise ConnectionResetError
        elif events & selectors.EVENT_WRITE and not client.write():
            if self._reads:
                self._watch.modify(client.sock, self._reads, client)
            else:
                self._watch.unregister(client.sock)
                self._waiting.append(client)

    def _come_again(self, client):
        self.turned_away += 1
        self._watch.unregister(client.sock)
        client.sock.close()
        self._begin()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("shape", choices=SHAPES)
    parser.add_argument("port", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("seconds", type=float)
    told = parser.parse_args()
    crowd = Crowd(told.shape, told.port, told.count)
    crowd.play(told.seconds)
    print(crowd.turned_away)


if __name__ == "__main__":
    main()
