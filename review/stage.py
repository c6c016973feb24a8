"""What the scripts of folders 6 to 10 share: the project's front node as a process of its own, started by the
deploy file, and stand-ins of clients, engines and the list's agent on loopback. Standard library only.

All times are seconds of the system's monotonic clock, which all processes of one machine share.
"""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

REVIEW = pathlib.Path(__file__).resolve().parent
ROOT = REVIEW.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit statuses of a script
READY_WITHIN = 30  # seconds that a front node may take to be ready, by the page
HEARTBEAT = 2.0  # seconds between empty lines of a watch on which nothing changes
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CantRun(Exception):
    """The case could not be played; says why."""


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def members_of(engines, phases=None):
    """The list as the agent tells it; `engines`: of `Stage.engine`; `phases`: id -> phase, if not active."""
    return [
        {
            "id": engine["id"],
            "host_port": "127.0.0.1:%d" % engine["port"],
            "locality": "a",
            "flavor": engine["flavor"],
            "cell": engine.get("cell", 0),
            "phase": (phases or {}).get(engine["id"], "active"),
            "size": 1.0,
            "up_since_ms": 0,
        }
        for engine in engines
    ]


def request(id, group, timeout_ms, prompt=1000, max_out=300, session=None, size=400):
    """A request of the platform's clients, as bytes."""
    body = json.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": max_out,
            "messages": [{"role": "user", "content": "w" * size}],
        }
    ).encode()
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: service.internal",
        "X-Request-ID: " + id,
        "X-Priority-Class: " + group,
        "X-Route-Key: " + (session or id[::-1]),
        "X-Timeout-Ms: %d" % timeout_ms,
        "X-Attrs: prompt_len=%d,max_out=%d" % (prompt, max_out),
        "Content-Type: application/json",
        "Content-Length: %d" % len(body),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    """What a client got: `status` None where the connection ended with nothing; `whole`: with its last byte;
    `events`: those that came whole, `first_event`, `last_event` when they did; `ended`: when it was over."""

    def __init__(self):
        self.status, self.whole, self.events, self.headers = None, False, [], {}
        self.sent = self.ended = self.last_event = self.first_event = None

    def words(self):
        if self.status is None:
            return "the connection ended with no answer"
        how = "whole" if self.whole else "cut, without its last chunk"
        return "status %d, %s, %d events" % (self.status, how, len(self.events))


def read_answer(sock, come, answer):
    """Reads one answer into `answer`, up to its end or the connection's."""
    try:
        _read_answer(come, answer)
    except (OSError, ValueError):
        pass
    answer.ended = time.monotonic()
    return answer


def _read_answer(come, answer):
    line = come.readline()
    if not line:
        return
    answer.status = int(line.split(b" ")[1])
    while (line := come.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.whole = len(come.read(size)) == size
        return
    text = b""
    while line := come.readline():
        size = int(line.split(b";")[0], 16)
        data = come.read(size)
        if len(data) < size or not come.readline():
            return
        if not size:
            answer.whole = True
            return
        text += data
        *whole, text = text.split(b"\n\n")
        if whole:
            answer.last_event = time.monotonic()
            answer.first_event = answer.first_event or answer.last_event
        answer.events += whole


class Agent:
    """The agent of the list on the front node's machine. It answers at once with what it has been sent; while
    discovery is down (`silent`) it takes connections and says nothing, and answers them at the return."""

    def __init__(self, revision, members, note):
        self.revision, self.members, self.note = revision, members, note
        self._changed, self._silent = threading.Condition(), False
        self._server = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "127.0.0.1:%d" % self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, members):
        """A change, which open watches get at once."""
        with self._changed:
            self.revision, self.members = self.revision + 1, members
            self._changed.notify_all()

    def silence(self, silent):
        with self._changed:
            self._silent = silent
            self._changed.notify_all()

    def _accept(self):
        while True:
            sock, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as come:
            first = come.readline().decode("latin-1")
            while come.readline().strip():
                pass
            self.note("agent", "asked: %s" % first.split(" ")[1])
            with self._changed:
                self._changed.wait_for(lambda: not self._silent)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            sock.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
            self._follow(sock)

    def _follow(self, sock):
        told = None
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self.revision != told and not self._silent, HEARTBEAT)
                if self._silent:
                    continue
                line, revision = b"\n", self.revision
                if revision != told:
                    whole = {"revision": revision, "complete": True, "members": self.members}
                    line, told = json.dumps(whole).encode() + b"\n", revision
                    self.note("agent", "told revision %d" % revision)
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))


class Store:
    """What the engines tell, in the order in which it came, and the read states that wait at readers."""

    def __init__(self, note):
        self.note, self.told, self.states = note, [], {}  # request's id -> (since, reader) of a state
        self.ended = []  # (id, since, when it was taken or released)
        self._lock, self.changed = threading.RLock(), threading.Event()
        self._server = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as come:
            line = json.loads(come.readline())
            ok = self._take_in(line)
            sock.sendall(json.dumps({"ok": ok}).encode() + b"\n")

    def _take_in(self, line):
        with self._lock:
            self.told.append(line)
            id, ok = line["id"], True
            if line["what"] == "read":
                self.states[id] = line["at"], line["engine"]
            elif line["what"] in ("take", "release"):
                ok = id in self.states
                if ok:
                    self.ended.append((id, self.states.pop(id)[0], line["at"]))
        more = {name: value for name, value in line.items() if name not in ("what", "id", "engine", "at")}
        self.note(line["engine"], "%s %s %s%s" % (line["what"], id, more or "", "" if ok else "(none)"))
        self.changed.set()
        return ok

    def of(self, what, id=None):
        with self._lock:
            return [line for line in self.told if line["what"] == what and id in (None, line["id"])]

    def held(self):
        """{request's id: since when its state waits}."""
        with self._lock:
            return {id: since for id, (since, _) in self.states.items()}


class Stage:
    """Everything that a case starts, ended at its end. Use it as a context."""

    def __init__(self, folder):
        self.folder, self.began = pathlib.Path(folder), time.monotonic()
        self._record = open(self.folder / "record.txt", "w")
        self._lock, self.processes = threading.Lock(), []
        self._temporary = tempfile.TemporaryDirectory()
        self.files = pathlib.Path(self._temporary.name)
        self.store = Store(self.note)

    def __enter__(self):
        self.note("case", "with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._temporary.cleanup()
        self._record.close()

    def note(self, who, what):
        """A line of record.txt."""
        with self._lock:
            if not self._record.closed:
                self._record.write("%8.3f %-8s %s\n" % (time.monotonic() - self.began, who, what))
                self._record.flush()

    def wait_for(self, true, within, what):
        until = time.monotonic() + within
        while not (seen := true()):
            if time.monotonic() > until:
                raise CantRun("did not come about within %g s: %s" % (within, what))
            time.sleep(0.005)
        return seen

    def engine(self, id, role, flavor, **more):
        """Starts one; returns what the list has to tell of it, with its process."""
        told = {"id": id, "role": role, "port": free_port(), "store": self.store.port, **more}
        process = subprocess.Popen([sys.executable, str(REVIEW / "engine_standin.py"), json.dumps(told)])
        self.processes.append(process)
        self.wait_for(lambda: [up for up in self.store.of("up") if up["engine"] == id], 10, id + " is up")
        return {**told, "flavor": flavor, "process": process}

    def front(self, name, settings, known, agent, port=None, sockets=256, memory_mb=192):
        """A front node, started by the line `run` of the deploy file."""
        front = FrontNode(self, name, port or free_port())
        front.start(settings, known, agent, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets})
        return front

    def signal(self, process, number, who):
        self.note("case", "%s to %s" % (signal.Signals(number).name, who))
        process.send_signal(number)

    def finish(self, broken, what):
        """Says the result; returns the exit status."""
        text = "%s: %s" % ("BROKEN" if broken else "held", what)
        self.note("case", text)
        print(text)
        return BROKEN if broken else HELD


class FrontNode:
    def __init__(self, stage, name, port):
        self.stage, self.name, self.port, self.process = stage, name, port, None

    def start(self, settings, known, agent, limits):
        revision, members = known
        told = {
            "name": self.name,
            "listen": "127.0.0.1:%d" % self.port,
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": {"revision": revision, "complete": True, "members": members},
            "settings": settings,
        }
        path = self.stage.files / (self.name + ".json")
        path.write_text(json.dumps(told))
        temporary = self.stage.files / (self.name + ".tmp")
        temporary.mkdir(exist_ok=True)
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": told["listen"],
            "EDGE_DISCOVERY": agent.address,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        self.log = self.stage.files / (self.name + ".log")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.stage.processes.append(self.process)
        self.stage.note(self.name, "started")

    def wait_ready(self, within=READY_WITHIN):
        self.stage.wait_for(self.is_ready, within, "%s is ready" % self.name)
        self.stage.note(self.name, "ready")

    def is_ready(self):
        if self.process.poll() is not None:
            raise CantRun("%s ended with %s: %s" % (self.name, self.process.returncode, self.log_end()))
        try:
            with self.connect() as sock, sock.makefile("rb") as come:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in come.readline()
        except OSError:
            return False

    def log_end(self):
        return self.log.read_text(errors="replace")[-800:]

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=30)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def ask(self, id, group, timeout_ms, **more):
        """Sends one request on a connection of its own, reads the answer and closes the connection."""
        answer = Answer()
        with contextlib.suppress(OSError), self.connect() as sock, sock.makefile("rb") as come:
            answer.sent = time.monotonic()
            self.stage.note("client", "sent %s" % id)
            sock.sendall(request(id, group, timeout_ms, **more))
            read_answer(sock, come, answer)
        self.stage.note("client", "%s: %s" % (id, answer.words()))
        return answer


def main(play, folder):
    """Plays one case in a context and exits with its status."""
    try:
        with Stage(folder) as stage:
            status = play(stage)
    except CantRun as why:
        print("could not run: %s" % why)
        status = NOT_RUN
    sys.exit(status)
