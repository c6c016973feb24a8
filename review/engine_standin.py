"""A stand-in engine as one process, by the protocol page; standard library only.

    python engine_standin.py '{"id": "rd-1", "role": "read", "port": 7811, "store": 7900, ...}'

A reader reads a prompt at a fixed pace, leaves its state (noted in the store of the test) and answers 202. A
writer takes the state from the store, or answers 410 where there is none, and streams its answer. When its
caller closes, work that has begun goes on and other work is dropped, as `cancel = "queued"` of the sites has
it. DELETE lets go of all states of a request, at whichever engine. A stop (SIGSTOP) hangs the process.
"""

import json
import signal
import socket
import sys
import threading
import time

CHARACTERS = 4  # make a token, by the protocol page
STEP = 0.02  # seconds: a prefill engine's step, by the site file
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def event(delta, finish=None):
    told = {"choices": [{"index": 0, "delta": {"content": delta}, "finish_reason": finish}]}
    return b"data: " + json.dumps(told, separators=(",", ":")).encode() + b"\n\n"


def usage(prompt, out):
    told = {
        "choices": [],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": out,
            "prompt_tokens_details": {"cached_tokens": 0},
        },
    }
    return b"data: " + json.dumps(told, separators=(",", ":")).encode() + b"\n\n"


class Engine:
    """`told`: id, role, port, store; and, with defaults, `read_per_s` tokens, `first_s`, `token_s` seconds,
    `tokens` of an answer, `pause_s` between the two pieces in which an event is written (0: one piece),
    `notes_event`: number of the event after whose first piece the store is told, 0 for none; `slow`: how many
    times slower it reads from SIGUSR1 to SIGUSR2."""

    def __init__(self, told):
        self.id, self.role, self.port, self.store = told["id"], told["role"], told["port"], told["store"]
        self.read_per_s = told.get("read_per_s", 12_000)
        self.first_s, self.token_s = told.get("first_s", 0.05), told.get("token_s", 0.05)
        self.tokens, self.pause_s = told.get("tokens", 20), told.get("pause_s", 0)
        self.notes_event = told.get("notes_event", 0)
        self.slower = 1  # times

    def run(self, slow):
        signal.signal(signal.SIGUSR1, lambda *_: self.pace(slow))
        signal.signal(signal.SIGUSR2, lambda *_: self.pace(1))
        server = socket.create_server(("127.0.0.1", self.port), backlog=256)
        self.tell("up")
        while True:
            sock, _ = server.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def pace(self, slower):
        self.slower = slower

    def tell(self, what, id="-", **more):
        """Tells the test's store; returns its answer."""
        line = {"what": what, "id": id, "engine": self.id, "at": time.monotonic(), **more}
        with socket.create_connection(("127.0.0.1", self.store)) as sock:
            sock.sendall(json.dumps(line).encode() + b"\n")
            with sock.makefile("rb") as answer:
                return json.loads(answer.readline() or b'{"ok": false}')["ok"]

    def serve(self, sock):
        try:
            with sock, sock.makefile("rb") as come:
                while self.call(sock, come):
                    pass
        except OSError:
            pass  # the caller has gone

    def call(self, sock, come):
        """One call; whether the connection goes on."""
        line = come.readline()
        if not line.strip():
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := come.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        body = come.read(size)
        if not line or len(body) < size:
            return False  # it never became whole
        if method == "DELETE":
            self.tell("release", path.rpartition("/")[2])
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if self.has_gone(sock):
            return False  # work that has not begun is dropped with its caller
        id, prompt = headers["x-request-id"], self.prompt_of(headers, size)
        self.tell("call", id, path=path, left_ms=int(headers["x-timeout-ms"]))
        try:
            return self.read(sock, id, prompt) if self.role == "read" else self.write(sock, id, prompt)
        finally:
            self.tell("over", id)

    @staticmethod
    def has_gone(sock):
        """Whether the caller has closed."""
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    @staticmethod
    def prompt_of(headers, size):
        attrs = dict(part.partition("=")[::2] for part in headers.get("x-attrs", "").split(",") if part)
        return int(attrs.get("prompt_len") or size // CHARACTERS)

    def read(self, sock, id, prompt):
        for _ in range(max(int(prompt / self.read_per_s / STEP), 1)):
            time.sleep(STEP * self.slower)
        self.tell("read", id)
        sock.sendall(b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n" + b'{"cached_tokens":0}')
        return True

    def write(self, sock, id, prompt):
        if not self.tell("take", id):
            sock.sendall(b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        time.sleep(self.first_s)
        sock.sendall(HEAD)
        last = self.tokens - 1
        events = [event("t%d " % n, "stop" if n == last else None) for n in range(self.tokens)]
        events += [usage(prompt, self.tokens), b"data: [DONE]\n\n"]
        for n, data in enumerate(events, 1):
            try:
                self.pass_on(sock, id, n, b"%x\r\n%s\r\n" % (len(data), data))
            except OSError:
                self.tell("cut", id, event=n, of=len(events))
                raise
            time.sleep(self.token_s if n < self.tokens else 0)
        self.tell("done", id, events=len(events))
        sock.sendall(b"0\r\n\r\n")
        return True

    def pass_on(self, sock, id, n, data):
        if not self.pause_s:
            return sock.sendall(data)
        half = len(data) // 2
        sock.sendall(data[:half])
        if n == self.notes_event:
            self.tell("half", id, event=n)
        time.sleep(self.pause_s)
        return sock.sendall(data[half:])


if __name__ == "__main__":
    ARGUMENTS = json.loads(sys.argv[1])
    Engine(ARGUMENTS).run(ARGUMENTS.get("slow", 1))
