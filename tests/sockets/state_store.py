"""Read states of stand-in prefill servers, which servers in other processes leave and take, with the times of
all that happens to them."""

import dataclasses
import time

from gevent.server import StreamServer

from martenrouter.wire import http


@dataclasses.dataclass
class State:
    """Of one read; times are seconds of the monotonic clock. `ended`: when it was taken or released."""

    id: str
    since: float
    ended: float | None = None
    taken: bool = False

    def held(self, now):
        return (self.ended or now) - self.since


class StateStore:
    def __init__(self):
        self.states = []
        self._server = StreamServer(("127.0.0.1", 0), self._accepted)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def close(self):
        self._server.stop()

    def read(self, id):
        """A read of the request ended: its state waits from now on."""
        self.states.append(State(id, time.monotonic()))

    def release(self, id):
        for state in self._waiting(id):
            state.ended = time.monotonic()

    def take(self, id):
        """Whether there was a state to take."""
        for state in self._waiting(id):
            state.ended, state.taken = time.monotonic(), True
            return True
        return False

    def taken(self, id):
        """How many states of the request decode servers took: how often it has run."""
        return sum(state.taken for state in self.states if state.id == id)

    def held_over(self, seconds):
        """[(request's id, seconds)] of the states that were held for longer."""
        now = time.monotonic()
        return [(state.id, round(state.held(now), 3)) for state in self.states if state.held(now) > seconds]

    def _waiting(self, id):
        return [state for state in self.states if state.id == id and state.ended is None]

    def _accepted(self, sock, _):
        reader = http.RequestReader()
        try:
            while data := sock.recv(4096):
                for event in reader.feed(data):
                    if event[0] == "head":
                        sock.sendall(http.response(self._answer(event[1].path), ()))
        except OSError:
            pass  # it was stopped or has ended
        finally:
            sock.close()

    def _answer(self, path):
        _, what, id = path.split("/")
        if what == "take":
            return 200 if self.take(id) else 404
        {"read": self.read, "release": self.release}[what](id)
        return 200
