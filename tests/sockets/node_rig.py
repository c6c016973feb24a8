"""A front node in this process, with engines, a list's agent and clients of the platform, all scripted, on
loopback."""

import json
import os
import tempfile

import gevent
import structlog
from gevent import socket
from gevent.server import StreamServer

from martenrouter.node.life import Node
from martenrouter.wire import http
from tests.sockets import rig

SETTINGS = {
    "grades": [
        {"name": "chat", "effect": "free", "goal-time-us": 1_000_000, "importance": 1.0},
        {"name": "order", "effect": "single_shot", "goal-time-us": 1_000_000, "importance": 1.0},
    ],
    "skus": ["prefill", "decode"],
    "customers": [],
    "tick-us": 2000,
    "peers-total": 1,
    "family-info": {
        "role-by-kind": ["read", "write"],
        "memory-tokens": [200_000, 100_000],
        "pin-limit-us": 300_000,
        "resume": True,
    },
    "policy-limits": {
        "attempts-cap": 4,
        "cancelling": True,
        "retry-after": True,
        "max-retry-after-us": 2_000_000,
        "connect-timeout-us": 250_000,
        "conn-idle-us": 30_000_000,
    },
    "stats": {"fields": ["outstanding", "x0"], "via": "answers"},
    "rules": {"warm-up-us": 10_000_000, "cold-share": 0.3, "fall-multiple": 3.0, "tip-after-us": 3_000_000},
}
EVENTS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}]}\n\n',
    b'data: {"choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]}\n\n',
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\n',
    b"data: [DONE]\n\n",
]
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
BODY = b'{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hello"}]}'


class Engine(rig.Engine):
    """`script(engine, sock, call, nth)` answers one call; `call` has head and body. Without it, as the
    platform's do."""

    def _call(self, sock, head, body):
        if head.method == "DELETE":
            self.released.append(head.path.rpartition("/")[2])
            sock.sendall(http.response(204, ()))
            return
        call = {
            "path": head.path,
            "headers": head.headers,
            "body": body,
            "id": head.headers.get("x-request-id"),
        }
        self.calls.append(call)
        if self.script:
            self.script(self, sock, call, len(self.calls))
        else:
            self.answer(sock, call)

    def answer(self, sock, call, load="inflight=1,x0=0.25"):
        if self.kind == "prefill":
            sock.sendall(http.response(202, (("x-server-load", load),), b'{"cached_tokens":4}'))
        else:
            sock.sendall(
                HEAD
                + b"".join(map(http.chunk, EVENTS))
                + http.chunk(b": X-Server-Load: " + load.encode() + b"\n\n")
                + http.chunk(b"")
            )

    def member(self, phase="active"):
        return {
            "id": self.id,
            "host_port": self.address,
            "locality": "h",
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.start,
        }


class Agent:
    """The list's agent. `asked`: paths of the watches; `greeting`: what one gets first, or None for
    silence."""

    def __init__(self):
        self.asked, self.open, self.greeting = [], [], self.line(1, [], False)
        self.server = StreamServer(("127.0.0.1", 0), self._accepted)
        self.server.start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server.address[1]

    @staticmethod
    def line(revision, members, complete=False):
        return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"

    def _accepted(self, sock, _):
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(4096) or b"\r\n\r\n"
            self.asked.append(data.split()[1].decode())
            if self.greeting is not None:
                sock.sendall(http.response(200, (), chunked=True) + http.chunk(self.greeting))
            self.open.append(sock)
            while sock.recv(4096):
                pass
        except OSError:
            pass
        finally:
            if sock in self.open:
                self.open.remove(sock)
            sock.close()

    def tell(self, revision, members, complete=False):
        self.raw(http.chunk(self.line(revision, members, complete)))

    def raw(self, data):
        for sock in list(self.open):
            sock.sendall(data)


class Client:
    """One connection of a client; `last` tells whether the last answer's end came."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, timeout=5)
        self.reader, self.last = http.ResponseReader(), False

    def send(self, data):
        self.sock.sendall(data)
        return self

    def ask(self, id="00000000000000a1", body=BODY, **headers):
        return self.send(request(id, body, **headers))

    def answer(self):
        """(status, headers, body) of the next answer, as far as it came before the connection's end; status
        None: a close."""
        status, headers, body = None, {}, b""
        try:
            while True:
                data = self.sock.recv(65536)
                if not data:
                    return status, headers, body
                for event in self.reader.feed(data):
                    if event[0] == "head":
                        status, headers = event[1].status, event[1].headers
                        self.last = False
                    elif event[0] == "body":
                        body += event[1]
                    else:
                        self.last = True
                        return status, headers, body
        except ConnectionError:
            return status, headers, body

    def closed(self):
        """Whether this side sees the end of the connection within 5 s."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionError:
            return True
        except OSError:
            return False

    def close(self):
        self.sock.close()


def is_ready(address):
    """Whether the node there answers that it is ready."""
    try:
        client = Client(address)
    except OSError:
        return False
    try:
        client.send(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        return client.answer()[0] == 200
    except OSError:
        return False
    finally:
        client.close()


def request(id="00000000000000a1", body=BODY, path="/v1/chat/completions", **headers):
    told = {
        "host": "service.internal",
        "x-request-id": id,
        "x-priority-class": "chat",
        "x-route-key": "k1",
        "x-timeout-ms": "3000",
        "x-attrs": "prompt_len=1000,prefix_len=0,max_out=50",
        "content-length": str(len(body)),
    }
    told.update({name.replace("_", "-"): value for name, value in headers.items()})
    lines = ["POST %s HTTP/1.1" % path] + ["%s: %s" % pair for pair in told.items() if pair[1] is not None]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class FixedMemory:
    """Of a node in this process, whose own memory says nothing of the node's."""

    size = 30_000_000  # bytes

    def resident(self):
        return self.size

    def trim(self):
        """Nothing is given back."""


class Rig:
    def __init__(self, *engines, sockets=256, agent=None, **settings):
        self.engines = {engine.id: engine for engine in engines}
        self.agent = agent or Agent()
        self.dir = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.dir.name, "config.json")
        self.settings = {**SETTINGS, **settings}
        self.sockets, self.clients = sockets, []
        self.write(self.agent.address)
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.node = Node(self.path, structlog.get_logger(), FixedMemory())
        self.node.start()
        self.address = self.node.door.server.address[:2]
        self.until(lambda: self.agent.asked)
        gevent.sleep(0.01)

    def write(self, discovery, data=None):
        told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "8c1f",
            "settings": self.settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {
                "revision": 1,
                "complete": True,
                "members": [e.member() for e in self.engines.values()],
            },
        }
        with open(self.path, "w") as file:
            file.write(json.dumps(told) if data is None else data)

    def until(self, true, within=5):
        with gevent.Timeout(within, AssertionError("did not come about within %g s" % within)):
            while not true():
                gevent.sleep(0.005)

    def client(self, address=None):
        client = Client(address or self.address)
        self.clients.append(client)
        return client

    def ask(self, id="00000000000000a1", **headers):
        client = self.client()
        try:
            return client.ask(id, **headers).answer()
        finally:
            client.close()

    def close(self):
        node = self.node
        for greenlet in node.greenlets():
            greenlet.kill(block=False)
        node.engines.owed.stop()  # else it would go on calling servers, and later ones at their ports
        node.door.server.stop()
        node.door.turns.stop()  # else each rig of a process would cost every later turn of the loop
        for conn in list(node.door.conns.values()):
            conn.close()
        self.agent.server.stop()
        for client in self.clients:
            client.close()
        for id, engine in self.engines.items():
            engine.server.stop()
            for connection in node.engines.kept.forget(id):
                connection.close()
        for forward in list(node.engines.out.values()):
            node.engines.stop(forward)
        gevent.sleep(0.02)  # greenlets whose connections were shut clear up
        self.dir.cleanup()
