"""The client's side of the door: JSON-RPC 2.0 over WebSocket, many open calls on one connection."""

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult
from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, CloseConnection, Ping, RejectConnection, Request, TextMessage
from wsproto.utilities import ProtocolError

from martenrouter.wire import jsonrpc


class Left(Exception):
    """The connection ended before the answer."""


class Client:
    """`heard(message)` is called with every message that comes, decoded, before anything else is done with
    it."""

    def __init__(self, address, heard=None, within=5):
        """Raises OSError when there is no connection within `within` seconds."""
        self.heard, self.calls, self.tokens, self.last = heard, {}, {}, 0
        self.tool = None  # a function of the params of a tools/call
        self.sock = socket.create_connection(address, timeout=within)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ws, self.open, self._parts = WSConnection(ConnectionType.CLIENT), True, []
        self.sock.sendall(self.ws.send(Request(host="%s:%d" % address[:2], target="/")))
        accepted = False
        while not accepted:
            data = self.sock.recv(4096)
            try:
                self.ws.receive_data(data or None)
                for event in self.ws.events():
                    if isinstance(event, RejectConnection):
                        raise OSError("the front refused the connection: %d" % event.status_code)
                    accepted = accepted or isinstance(event, AcceptConnection)
            except ProtocolError as why:
                raise OSError("no WebSocket there: %s" % why) from why
            if not data and not accepted:
                raise OSError("closed in the greeting")
        self.sock.settimeout(None)
        self.greenlet = gevent.spawn(self._read)

    def send(self, message):
        """One encoded message. Raises Left."""
        try:
            self.sock.sendall(self.ws.send(TextMessage(data=message.decode())))
        except (OSError, ProtocolError) as why:
            raise Left(str(why)) from why

    def begin(self, method, params, tokens=None, id=None):
        """Sends a call; returns its id. `tokens(index, texts)` is called as they come."""
        self.last += 1
        id = self.last if id is None else id
        self.calls[id], self.tokens[id] = AsyncResult(), tokens
        self.send(jsonrpc.call(method, params, id))
        return id

    def wait(self, id, within=None):
        """The response, decoded. Raises Left when the connection ended first, gevent.Timeout past `within`
        seconds."""
        try:
            return self.calls[id].get(timeout=within)
        finally:
            self.calls.pop(id, None)
            self.tokens.pop(id, None)

    def call(self, method, params, tokens=None, within=None):
        return self.wait(self.begin(method, params, tokens), within)

    def cancel(self, id):
        self.send(jsonrpc.call("$/cancel", {"id": id}))

    def close(self):
        if self.open:
            self.open = False
            self.sock.close()
            for result in self.calls.values():
                result.set_exception(Left("closed"))

    def _read(self):
        try:
            while self.open:
                data = self.sock.recv(64 * 1024)
                self.ws.receive_data(data or None)
                for event in self.ws.events():
                    if isinstance(event, TextMessage):
                        self._parts.append(event.data)
                        if event.message_finished:
                            text, self._parts = "".join(self._parts), []
                            told = msgspec.json.decode(text)
                            for message in told if isinstance(told, list) else [told]:
                                self._message(message)
                    elif isinstance(event, Ping):
                        self.sock.sendall(self.ws.send(event.response()))
                    elif isinstance(event, CloseConnection):
                        return
                if not data:
                    return
        except (OSError, ProtocolError, msgspec.MsgspecError):
            pass
        finally:
            self.close()

    def _message(self, message):
        if self.heard:
            self.heard(message)
        if message.get("method") == "generate/token":
            params = message["params"]
            tokens = self.tokens.get(params["id"])
            if tokens:
                tokens(params["index"], params["tokens"])
        elif message.get("method") == "tools/call" and self.tool:
            gevent.spawn(self._run_tool, message)
        elif "method" not in message and message.get("id") in self.calls:
            self.calls[message["id"]].set(message)

    def _run_tool(self, message):
        result = self.tool(message["params"])
        try:
            self.send(jsonrpc.result(message["id"], result))
        except Left:
            pass  # the front asks again on the connection that comes back for the answer
