"""A front in this process, engines whose every answer is scripted, a list file; all on loopback, one gevent
loop."""

import json
import os
import struct
import tempfile

import gevent
import structlog
from gevent import socket
from gevent.server import StreamServer

from martenrouter.edge.client import Client
from martenrouter.edge.front import Front
from martenrouter.settings import front as settings_of
from martenrouter.wire import http

GROUPS = [
    {"name": "chat", "effect": "replayable"},
    {"name": "booking", "effect": "keyed", "repeat_scope": "cell", "repeat_window_ms": 4000},
    {"name": "order", "effect": "non-replayable"},
]


class Engine:
    """`script(engine, sock, call, nth)` answers one call; without it a read keeps a state and a write sends
    `words`."""

    def __init__(self, id, kind, cell=0, script=None, words=("a", "b", "c")):
        self.id, self.kind, self.cell, self.script, self.words = id, kind, cell, script, words
        self.calls, self.released, self.phase, self.start, self.socks = [], [], "up", 0, set()
        self.server = StreamServer(("127.0.0.1", 0), self._accepted)
        self.server.start()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server.address[1]

    def _accepted(self, sock, _):
        reader, body = http.RequestReader(), []
        self.socks.add(sock)
        try:
            while True:
                data = sock.recv(65536)
                if not data:
                    return
                for event in reader.feed(data):
                    if event[0] == "head":
                        head, body = event[1], []
                    elif event[0] == "body":
                        body.append(event[1])
                    else:
                        self._call(sock, head, b"".join(body))
        except OSError:
            pass
        finally:
            self.socks.discard(sock)
            sock.close()

    def die(self):
        """As a killed process does: nothing listens, and its open connections are reset."""
        self.server.stop()
        for sock in list(self.socks):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

    def _call(self, sock, head, body):
        told = json.loads(body)
        if head.path.endswith("release"):
            self.released.append(told["request_id"])
            sock.sendall(http.response(200, (), b"{}"))
            return
        told["forward"] = head.headers["x-request-id"]
        self.calls.append(told)
        if self.script:
            self.script(self, sock, told, len(self.calls))
        else:
            self.answer(sock, told)

    # ---- pieces that scripts put together ----

    def answer(self, sock, told):
        if self.kind == "rd":
            self.read(sock, told)
        else:
            self.tokens(sock, self.words)
            self.finish(sock)

    def read(self, sock, told):
        body = {
            "kv_transfer_params": {"do_remote_prefill": True, "remote_request_id": told["forward"]},
            "usage": {"prompt_tokens": 10, "prompt_tokens_details": {"cached_tokens": 0}},
        }
        sock.sendall(http.response(200, (), json.dumps(body).encode()))

    def tokens(self, sock, words, head=True):
        if head:
            sock.sendall(http.response(200, (("content-type", "text/event-stream"),), chunked=True))
        for word in words:
            self.event(sock, {"choices": [{"delta": {"content": word}}]})

    def event(self, sock, told):
        sock.sendall(http.chunk(b"data: " + json.dumps(told).encode() + b"\n\n"))

    def finish(self, sock):
        self.event(sock, {"choices": [{"delta": {}, "finish_reason": "stop"}]})
        sock.sendall(http.chunk(b"data: [DONE]\n\n") + http.chunk(b""))

    def refuse(self, sock, status=429):
        sock.sendall(http.response(status, (), b"{}"))

    def reset(self, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        raise OSError("reset by the script")


class Rig:
    def __init__(self, *engines, **settings):
        self.engines = {engine.id: engine for engine in engines}
        self.dir, self.version = tempfile.TemporaryDirectory(), 0
        self.path = os.path.join(self.dir.name, "list.json")
        self.tell()
        limits = settings.pop("limits", {})
        told = {
            "listen": "127.0.0.1:0",
            "groups": GROUPS,
            "list": {"file": self.path},
            "limits": limits,
            **settings,
        }
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.front = Front(settings_of.check(told, "rig"), structlog.get_logger())
        self.front.start()
        self.address = self.front.door.server.address[:2]
        self.until(lambda: len(self.front.engines.addresses) == len(engines))
        gevent.sleep(0.01)

    def tell(self, epoch=1):
        """Writes the list file with the engines' phases as they are."""
        self.version += 1
        entries = [
            {
                "id": e.id,
                "phase": e.phase,
                "kind": e.kind,
                "zone": "z",
                "cell": e.cell,
                "address": e.address,
                "start": e.start,
            }
            for e in self.engines.values()
        ]
        with open(self.path + ".new", "w") as file:
            json.dump({"scope": "whole", "epoch": epoch, "version": self.version, "entries": entries}, file)
        os.replace(self.path + ".new", self.path)

    def until(self, true, within=5):
        with gevent.Timeout(within, AssertionError("did not come about within %g s" % within)):
            while not true():
                gevent.sleep(0.005)

    def client(self, **more):
        return Client(self.address, **more)

    def ask(self, **params):
        """(answer, tokens, messages that came) of one generate on a connection of its own."""
        came, texts = [], []
        client = self.client(heard=came.append)
        try:
            answer = client.call(
                "generate",
                {"prompt": "hello", "deadline_ms": 3000, **params},
                lambda index, more: texts.extend(more),
                within=10,
            )
        finally:
            gevent.sleep(0.02)
            client.close()
        return answer, texts, came

    def close(self):
        self.front.door.stop_accepting()
        for conn in list(self.front.door.conns.values()):
            conn.close()
        for engine in self.engines.values():
            engine.server.stop()
        self.front.desk.greenlet.kill(block=False)
        self.dir.cleanup()


def ending(answer):
    """done, pushed back, aborted, or the code of another error."""
    if "result" in answer:
        return answer["result"]["ending"]
    return (answer["error"].get("data") or {}).get("ending", answer["error"]["code"])
