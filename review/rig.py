"""What the cases share: stand-ins of the platform on loopback (engines, the list's agent, clients), the front
node as the deploy file starts it, and the record.

Standard library only. Engines, agent and clients are threads of this process; the front node is a process of
its own. Every time is of the monotonic clock, in seconds since the rig was made.
"""

import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes
# A machine that is cut off takes no byte, so what is sent to it stays with the sender's system, and that
# holds some 80 KB for a connection of a usual network. Loopback takes what fits the receiver's buffer even
# if nobody reads, in segments of 32 KB; so engines' sockets have a usual network's segments and a small
# buffer.
ETHERNET, SMALL = 1460, 4096
LONGEST = 110  # seconds for a whole case
CHUNK = 64 * 1024


class Record:
    """Lines of what was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self.begun, self.lock = time.monotonic(), threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lines = []

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, who, what, id="-", **told):
        with self.lock:
            at = self.now()
            self.lines.append((at, who, what, id, told))
            rest = " ".join("%s=%s" % pair for pair in told.items())
            self.file.write("%9.4f %s %s %s %s\n" % (at, who, what, id, rest))
            return at

    def find(self, what, id=None, who=None):
        with self.lock:
            lines = list(self.lines)
        return [
            line for line in lines if line[2] == what and id in (None, line[3]) and who in (None, line[1])
        ]


class Hung(Exception):
    """The process that plays is over."""


class Incoming:
    """Bytes of one connection; reads nothing while its engine hangs."""

    def __init__(self, sock, engine=None):
        self.sock, self.engine, self.data = sock, engine, b""

    def more(self):
        while True:
            if self.engine is not None:
                self.engine.running.wait()
            if not select.select([self.sock], [], [], 0.02)[0]:
                continue
            if self.engine is not None and not self.engine.running.is_set():
                continue
            came = self.sock.recv(CHUNK)
            if not came:
                raise EOFError
            self.data += came
            return

    def until(self, end):
        while end not in self.data:
            self.more()
        head, _, self.data = self.data.partition(end)
        return head

    def take(self, count):
        while len(self.data) < count:
            self.more()
        body, self.data = self.data[:count], self.data[count:]
        return body


def parsed(head):
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(text, finish=None):
    told = {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}]}
    return b"data: " + json.dumps(told).encode() + b"\n\n"


class States:
    """Read states that wait, by request: all engines know of them, as a call to release at any of them lets
    go of all."""

    def __init__(self, record):
        self.record, self.lock, self.at = record, threading.Lock(), {}

    def hold(self, id, engine):
        with self.lock:
            self.at[id] = engine
        self.record(engine, "state_held", id)

    def take(self, id, engine):
        with self.lock:
            reader = self.at.pop(id, None)
        if reader is not None:
            self.record(engine, "state_taken", id, reader=reader)
        return reader is not None

    def release(self, id, engine):
        with self.lock:
            reader = self.at.pop(id, None)
        self.record(engine, "release_call", id, held=reader is not None)


class Engine:
    """A sound engine. `read_s`, `first_s`, `token_s`: how long a read, a first event and each further event
    take; `events`: of an answer."""

    def __init__(self, rig, id, flavor, cell=0, read_s=0.05, first_s=0.05, token_s=0.02, events=5):
        self.rig, self.record, self.id, self.flavor, self.cell = rig, rig.record, id, flavor, cell
        self.read_s, self.first_s, self.token_s, self.events = read_s, first_s, token_s, events
        self.phase, self.fillers = "active", []
        self.running = threading.Event()
        self.running.set()
        self.server = socket.socket()
        self.server.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET)
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(256)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def member(self):
        return {
            "id": self.id,
            "host_port": self.address,
            "locality": "hall-1",
            "flavor": self.flavor,
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def hang(self):
        """It takes what comes and answers nothing."""
        self.running.clear()
        self.record(self.id, "hangs")

    def go_on(self):
        self.running.set()
        self.record(self.id, "goes_on")

    def cut(self):
        """Its machine is cut off: open connections are silent, new ones never come up."""
        self.running.clear()
        self.server.listen(0)
        for _ in range(3):  # these fill what the system would take; it drops what comes then
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.server.getsockname())
            self.fillers.append(sock)
        self.record(self.id, "cut_off")

    def heal(self):
        for sock in self.fillers:
            sock.close()
        self.fillers = []
        self.server.listen(256)
        self.running.set()
        self.record(self.id, "heard_again")

    def _accept(self):
        while True:
            self.running.wait()
            try:
                if not select.select([self.server], [], [], 0.02)[0] or not self.running.is_set():
                    continue
                sock, _ = self.server.accept()
            except (OSError, ValueError):
                return  # closed
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        incoming = Incoming(sock, self)
        try:
            while True:
                first, headers = parsed(incoming.until(b"\r\n\r\n"))
                body = incoming.take(int(headers.get("content-length", 0)))
                method, path, _ = first.split(" ")
                if method == "DELETE":
                    self.rig.states.release(path.rpartition("/")[2], self.id)
                    sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                else:
                    self._answer(sock, headers.get("x-request-id"), headers, body)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            sock.close()

    def pause(self, seconds):
        """Works for so long; a hang holds the work up."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(min(max(until - time.monotonic(), 0), 0.01))
            if not self.running.is_set():
                left = until - time.monotonic()
                self.running.wait()
                until = time.monotonic() + left

    def _answer(self, sock, id, headers, body):
        self.record(self.id, "attempt", id, left=headers.get("x-timeout-ms"), bytes=len(body))
        if self.flavor == "prefill":
            self.pause(self.read_s)
            self.rig.states.hold(id, self.id)
            told = b'{"cached_tokens":0}'
            sock.sendall(
                b"HTTP/1.1 202 Accepted\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
                % (len(told), told)
            )
            return
        if not self.rig.states.take(id, self.id):
            sock.sendall(b"HTTP/1.1 410 Gone\r\nx-not-processed: 1\r\ncontent-length: 0\r\n\r\n")
            self.record(self.id, "no_state", id)
            return
        self.pause(self.first_s)
        self.record(self.id, "stream_begins", id)
        sock.sendall(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        for n in range(self.events):
            sock.sendall(chunk(event("w%d " % n, "stop" if n == self.events - 1 else None)))
            self.pause(self.token_s)
        usage = {"prompt_tokens": 9, "completion_tokens": self.events}
        told = json.dumps({"choices": [], "usage": usage}).encode()
        sock.sendall(chunk(b"data: " + told + b"\n\n") + chunk(b"data: [DONE]\n\n") + chunk(b""))
        self.record(self.id, "stream_ends", id)


class Agent:
    """The list's agent: answers at once with what it has, then an empty line each 2 s."""

    def __init__(self, rig):
        self.rig, self.record, self.revision, self.watches = rig, rig.record, 1, []
        self.lock = threading.Lock()
        self.server = socket.socket()
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(64)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def line(self, members, complete):
        told = {"revision": self.revision, "complete": complete, "members": members}
        return json.dumps(told).encode() + b"\n"

    def _accept(self):
        while True:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            Incoming(sock).until(b"\r\n\r\n")
            with self.lock:
                whole = self.line([e.member() for e in self.rig.engines.values()], True)
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    b"transfer-encoding: chunked\r\n\r\n" + chunk(whole)
                )
                self.watches.append(sock)
            self.record("agent", "watch_begins")
        except (EOFError, OSError):
            sock.close()

    def _send(self, data):
        with self.lock:
            for sock in list(self.watches):
                try:
                    sock.sendall(chunk(data))
                except OSError:
                    self.watches.remove(sock)

    def _beat(self):
        while True:
            time.sleep(2)
            self._send(b"\n")

    def tell(self, *engines):
        self.revision += 1
        self._send(self.line([engine.member() for engine in engines], False))
        for engine in engines:
            self.record("agent", "told", engine.id, phase=engine.phase)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Node:
    """The front node, started by the line `run` of the deploy file."""

    def __init__(self, rig, settings, sockets=1024, known=None):
        self.rig, self.record, self.port = rig, rig.record, free_port()
        self.folder = os.path.join(rig.folder, "node")
        os.makedirs(os.path.join(self.folder, "tmp"), exist_ok=True)
        self.config = os.path.join(self.folder, "config.json")
        members = [e.member() for e in rig.engines.values()] if known is None else known
        self.told = {
            "name": "n0",
            "listen": "127.0.0.1:%d" % self.port,
            "discovery": rig.agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"revision": rig.agent.revision, "complete": True, "members": members},
            "settings": settings,
        }
        self.write()
        self.log_path, self.process = os.path.join(self.folder, "node.log"), None

    def write(self):
        with open(self.config + ".new", "w") as file:
            json.dump(self.told, file)
        os.replace(self.config + ".new", self.config)

    def start(self, within=30):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        env = {
            **os.environ,
            "EDGE_NAME": self.told["name"],
            "EDGE_LISTEN": self.told["listen"],
            "EDGE_DISCOVERY": self.told["discovery"],
            "EDGE_CONFIG": self.config,
            "TMPDIR": os.path.join(self.folder, "tmp"),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("node", "started", pid=self.process.pid)
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            if self.ready():
                self.record("node", "ready")
                return
            time.sleep(0.02)
        raise Hung("the front node was not ready within %d s" % within)

    def ready(self):
        try:
            with urllib.request.urlopen("http://127.0.0.1:%d/ready" % self.port, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def signal(self, number):
        self.record("node", "signal", signal.Signals(number).name)
        self.process.send_signal(number)

    def memory_mb(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log(self, *events):
        with open(self.log_path) as file:
            lines = []
            for line in file:
                try:
                    told = json.loads(line)
                except ValueError:
                    continue
                if not events or told.get("event") in events:
                    lines.append(told)
            return lines

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def body_of(length):
    """A chat completion's body of about so many bytes."""
    told = {"model": "chat", "stream": True, "max_tokens": 200, "messages": [{"role": "user", "content": ""}]}
    told["messages"][0]["content"] = "x" * max(length - len(json.dumps(told)), 1)
    return json.dumps(told).encode()


def ask_bytes(id, group, timeout_ms, body, key="7f3a9c21e0b4d655", more=()):
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: service.internal",
        "X-Request-ID: %s" % id,
        "X-Priority-Class: %s" % group,
        "X-Route-Key: %s" % key,
        "X-Timeout-Ms: %d" % timeout_ms,
        "X-Attrs: prompt_len=%d,max_out=200" % (len(body) // 4),
        "Content-Type: application/json",
        "Content-Length: %d" % len(body),
        *more,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    """`status`: None where none came; `whole`: whether its last byte did; `at`: when its last byte, or the
    connection's end, came; `first_at`: when its first byte did."""

    def __init__(self):
        self.status, self.whole, self.at, self.first_at, self.body = None, False, None, None, b""
        self.headers, self.why = {}, ""


class Client:
    """A usual client on one connection."""

    def __init__(self, rig, port):
        self.rig, self.record = rig, rig.record
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.incoming = Incoming(self.sock)

    def send(self, data, id="-", what="client_sends"):
        self.record("client", what, id, bytes=len(data))
        self.sock.sendall(data)

    def answer(self, id):
        answer = Answer()
        try:
            self._read(answer)
            answer.whole = True
        except EOFError:
            answer.why = "closed"
        except OSError as why:
            answer.why = "%s" % why
        answer.at = self.record(
            "client", "answered", id, status=answer.status, whole=answer.whole, why=answer.why or "-"
        )
        return answer

    def _read(self, answer):
        first, answer.headers = parsed(self.incoming.until(b"\r\n\r\n"))
        answer.status, answer.first_at = int(first.split(" ")[1]), self.record.now()
        if answer.headers.get("transfer-encoding") != "chunked":
            answer.body = self.incoming.take(int(answer.headers.get("content-length", 0)))
            return
        while True:
            size = int(self.incoming.until(b"\r\n"), 16)
            answer.body += self.incoming.take(size)
            self.incoming.take(2)
            if not size:
                return

    def close(self):
        self.sock.close()


class Rig:
    """All of one run; `close` ends every process and thread's socket that it made."""

    def __init__(self, folder):
        self.record, self.engines = Record(folder), {}
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.states, self.nodes, self.helpers = States(self.record), [], []
        self.agent = Agent(self)

    def engine(self, id, flavor, **told):
        self.engines[id] = Engine(self, id, flavor, **told)
        return self.engines[id]

    def node(self, settings, **told):
        node = Node(self, settings, **told)
        self.nodes.append(node)
        return node

    def helper(self, script, *arguments):
        """Another process of the case, a Python script of this folder."""
        path = os.path.join(os.path.dirname(os.path.abspath(__file__)), script)
        told = [sys.executable, path, *map(str, arguments)]
        process = subprocess.Popen(told, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)
        self.helpers.append(process)
        return process

    def fleet(self, readers, writers, **told):
        """So many engines of each kind in racks of six; `told`: as Engine has it."""
        for n in range(readers):
            self.engine("rd-%d" % n, "prefill", cell=n % 2, **told)
        for n in range(writers):
            self.engine("wr-%d" % n, "decode", cell=n % 2, **told)

    def ask(self, node, id, group, timeout_ms, body, key="7f3a9c21e0b4d655"):
        """One request of a usual client on a connection of its own: (when it was sent, Answer)."""
        client = Client(self, node.port)
        try:
            client.sock.settimeout(60)
            sent = self.record.now()
            client.send(ask_bytes(id, group, timeout_ms, body, key), id)
            return sent, client.answer(id)
        finally:
            client.close()

    def close(self):
        for node in self.nodes:
            node.close()
        for process in self.helpers:
            if process.poll() is None:
                process.kill()
            process.wait()
        for engine in self.engines.values():
            engine.running.set()
            engine.server.close()
        self.agent.server.close()
        self.record.file.flush()
        self.temporary.cleanup()


def play(folder, case):
    """Runs `case(rig)`, which returns (whether the rule held, words); exits with the code."""
    rig, code = Rig(folder), NOT_RUN

    def give_up(*_):
        print("could not run: it took over %d s, or was told to end" % LONGEST, flush=True)
        rig.close()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LONGEST)
    try:
        held, words = case(rig)
        code = HELD if held else BROKEN
        rig.record("verdict", "held" if held else "BROKEN", told=words)
        print("%s: %s" % ("held" if held else "BROKEN", words))
    except Exception as why:
        rig.record("verdict", "not_run", why="%s: %s" % (type(why).__name__, why))
        print("could not run: %s: %s" % (type(why).__name__, why))
    finally:
        rig.close()
    sys.stdout.flush()
    os._exit(code)
