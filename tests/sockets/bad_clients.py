"""Bad clients of one shape, in a process of their own: `python -m tests.sockets.bad_clients SHAPE PORT COUNT
SECONDS AFTER`. They send as fast as they can, read what they are sent, and come again when they are turned
away.
"""

import argparse
import collections
import itertools
import selectors
import socket
import time

READ_AT_ONCE = 64 * 1024
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
ID = "X-Request-ID: %016x\r\nX-Priority-Class: chat\r\nX-Timeout-Ms: 2000\r\n"
NUMBERS = itertools.count(0xBAD00000)
HALF_BODY = 250_000  # bytes of 256 KiB
LARGE_BODY = 100_000  # bytes
DRIP, DRIPS_EACH = 4096, 0.05  # bytes, and seconds from one piece to the next, sent or read


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


def body_drips():
    """A body in ever new pieces, none of them the last."""
    yield sound_head("Content-Length: 262144\r\n\r\n")
    while True:
        yield b"x" * DRIP
        yield None


def chunk_drips():
    """As `body_drips`, in chunks."""
    yield sound_head("Transfer-Encoding: chunked\r\n\r\n")
    while True:
        yield b"%x\r\n%s\r\n" % (DRIP, b"x" * DRIP)
        yield None


def whole_bodies():
    """Sound requests of nearly the largest size, one after the other."""
    body = b'{"messages":[{"role":"user","content":"%s"}]}' % (b"x" * HALF_BODY)
    while True:
        yield sound_head("Content-Length: %d\r\n\r\n" % len(body)) + body


def large_unsound_bodies():
    """Large requests whose bodies are no JSON, one after the other for as long as the connection lasts."""
    body = b'{"messages":%s' % (b"x" * LARGE_BODY)
    while True:
        yield sound_head("Content-Length: %d\r\n\r\n" % len(body)) + body


def paced(request):
    """`request()` again and again, with a pause after each."""
    while True:
        yield request()
        yield None


def leavers():
    """Sound requests that wait for a slow prefill server, whose clients close before they are answered."""
    yield slowly_read(2000)
    yield None
    raise ConnectionAbortedError


def short_deadlines():
    """Sound requests that can't be served in their time."""
    return paced(lambda: slowly_read(20))


def slowly_read(timeout):
    body = b'{"messages":[{"role":"user","content":"slow"}]}'
    head = HEAD + b"X-Request-ID: %016x\r\nX-Priority-Class: chat\r\n" % next(NUMBERS)
    return head + b"X-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (timeout, len(body)) + body


def long_names():
    """Sound requests under ever new and very long names of sessions and prefixes."""
    body = b'{"messages":[]}'
    names = "X-Route-Key: %s\r\nX-Attrs: prefix=%s,prefix_len=20,max_out=5\r\nContent-Length: %d\r\n\r\n"

    def request():
        n = next(NUMBERS)
        return sound_head(names % ("%03000x" % n, "%04000x" % n, len(body))) + body

    return paced(request)


def slow_readers():
    """A sound request whose answer is long, in many events; it is read in pieces with pauses between them."""
    return long_answers(b"many")


def long_answers(kind=b"long"):
    """A sound request whose answer is long, in a few large events; nothing of it is read."""
    body = b'{"messages":[{"role":"user","content":"%s"}],"stream":true,"max_tokens":9}' % kind
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
        body_drips,
        chunk_drips,
        whole_bodies,
        large_unsound_bodies,
        leavers,
        short_deadlines,
        long_names,
        slow_readers,
        long_answers,
    )
}
READS_NOTHING, READS_SLOWLY = {"long_answers"}, {"slow_readers"}
# each client of "mixed" has one of these
MIXED = (
    "half_bodies",
    "many_fields",
    "half_heads",
    "slow_writers",
    "body_drips",
    "whole_bodies",
    "long_answers",
    "slow_readers",
)


class BadClient:
    def __init__(self, shape, port):
        self.reads, self.reads_slowly = shape not in READS_NOTHING, shape in READS_SLOWLY
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if not self.reads or self.reads_slowly:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect_ex(("127.0.0.1", port))
        self._parts, self._left = SHAPES[shape](), memoryview(b"")

    def write(self):
        """Whether there is more to send; None: after a while. Raises OSError."""
        if not self._left:
            try:
                part = next(self._parts)
            except StopIteration:
                return False
            if part is None:
                return None
            self._left = memoryview(part)
        self._left = self._left[self.sock.send(self._left) :]
        return True


class Crowd:
    """`count` clients that come again as soon as they are turned away."""

    def __init__(self, shape, port, count):
        self._port, self.turned_away = port, 0
        self._watch, self._waiting = selectors.DefaultSelector(), []  # clients that read nothing any more
        self._pausing = collections.deque()  # (until when, client), soonest first
        shapes = itertools.cycle(MIXED) if shape == "mixed" else itertools.repeat(shape)
        for each in itertools.islice(shapes, count):
            self._begin(each)

    def _begin(self, shape):
        client = BadClient(shape, self._port)
        client.shape = shape
        self._watch.register(client.sock, selectors.EVENT_WRITE | client.reads * selectors.EVENT_READ, client)

    def play(self, seconds):
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < until:
            while self._pausing and self._pausing[0][0] <= now:
                self._go_on(self._pausing.popleft()[1])
            for key, events in self._watch.select(DRIPS_EACH / 2):
                try:
                    self._act(key.data, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self._come_again(key.data)

    def _go_on(self, client):
        if client.sock.fileno() < 0:
            return
        if client.reads_slowly:
            self._watch.register(client.sock, selectors.EVENT_READ, client)
        else:
            self._watch.modify(client.sock, selectors.EVENT_WRITE | selectors.EVENT_READ, client)

    def _act(self, client, events):
        if events & selectors.EVENT_READ:
            if not client.sock.recv(DRIP if client.reads_slowly else READ_AT_ONCE):
                raise ConnectionResetError
            if client.reads_slowly:
                self._watch.unregister(client.sock)
                self._pausing.append((time.monotonic() + DRIPS_EACH, client))
        elif events & selectors.EVENT_WRITE and not (goes_on := client.write()):
            if not client.reads:
                self._watch.unregister(client.sock)
                self._waiting.append(client)
                return
            self._watch.modify(client.sock, selectors.EVENT_READ, client)
            if goes_on is None:
                self._pausing.append((time.monotonic() + DRIPS_EACH, client))

    def _come_again(self, client):
        self.turned_away += 1
        self._watch.unregister(client.sock)
        client.sock.close()
        self._begin(client.shape)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("shape", choices=[*SHAPES, "mixed"])
    parser.add_argument("port", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("after", type=float, help="seconds before they come")
    told = parser.parse_args()
    time.sleep(told.after)
    crowd = Crowd(told.shape, told.port, told.count)
    crowd.play(told.seconds)
    print(crowd.turned_away)


if __name__ == "__main__":
    main()
