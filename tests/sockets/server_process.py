"""A server as a process, which can be stopped: `python -m tests.sockets.server_process KIND PORT STORE`.

STORE is the port of a store of states on loopback (`state_store.py`). A prefill server leaves a state there
when its read ends, whether or not its caller is still connected. A decode server moves a request's state from
there when it takes the request, and answers with a stream, or with 410 where there is no state.
"""

import sys

import gevent
from gevent import socket
from gevent.server import StreamServer

from martenrouter.wire import http
from tests.sockets.node_rig import EVENTS, HEAD

BACKLOG = 1  # connections that wait while it is stopped; further ones never come up
FIRST_TOKEN_TAKES = 0.03  # seconds
READ_TAKES = 0.15  # seconds
FOUND = 200


class Server:
    def __init__(self, kind, port, store):
        self._answer = self._read if kind == "prefill" else self._decode
        self._store = ("127.0.0.1", store)
        self._server = StreamServer(("127.0.0.1", port), self._accepted, backlog=BACKLOG)

    def run(self):
        self._server.serve_forever()

    def _accepted(self, sock, _):
        reader, head = http.RequestReader(), None
        try:
            while data := sock.recv(65536):
                for event in reader.feed(data):
                    if event[0] == "head":
                        head = event[1]
                    elif event[0] == "end":
                        self._call(sock, head)
        except OSError:
            pass  # the node closed it
        finally:
            sock.close()

    def _call(self, sock, head):
        if head.method == "DELETE":
            self._ask_store("release", head.path.rpartition("/")[2])
            return sock.sendall(http.response(204, ()))
        if self._given_up(sock):
            return None
        return self._answer(sock, head.headers["x-request-id"])

    def _read(self, sock, id):
        gevent.sleep(READ_TAKES)
        self._ask_store("read", id)
        sock.sendall(http.response(202, (), b'{"cached_tokens":0}'))

    def _decode(self, sock, id):
        if self._ask_store("take", id) != FOUND:
            return sock.sendall(http.response(410, (("x-not-processed", "1"),)))
        gevent.sleep(FIRST_TOKEN_TAKES)
        return sock.sendall(HEAD + b"".join(map(http.chunk, EVENTS)) + http.chunk(b""))

    @staticmethod
    def _given_up(sock):
        """Whether the node closed the connection behind the request."""
        sock.setblocking(False)
        try:
            return sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        finally:
            sock.setblocking(True)

    def _ask_store(self, what, id):
        """The store's status."""
        sock = socket.create_connection(self._store)
        try:
            sock.sendall(b"POST /%s/%s HTTP/1.1\r\nhost: store\r\n\r\n" % (what.encode(), id.encode()))
            reader = http.ResponseReader()
            while data := sock.recv(4096):
                for event in reader.feed(data):
                    if event[0] == "head":
                        return event[1].status
        finally:
            sock.close()
        raise ConnectionResetError("the store gave no answer")


if __name__ == "__main__":
    Server(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])).run()
