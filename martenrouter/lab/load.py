"""The load tool: open-loop reqs from several processes against fronts, or engines directly; what came of them
in histograms.

A req is due when the profile says so, whether or not earlier ones were answered, and its times count from
then: a tool that falls behind shows it (`slip`) and doesn't make the front look quicker than its clients
would find it.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import zlib

import gevent
import msgspec
from gevent import socket
from hdrh.histogram import HdrHistogram

from martenrouter.edge import clock
from martenrouter.edge.client import Client, Left
from martenrouter.lab.profile import Profile, due_times
from martenrouter.standins.arrivals import WORDS
from martenrouter.wire import engine as wire
from martenrouter.wire import http

NAMES = (
    "slip",
    "first",
    "gap",
    "whole",
)  # due to sent, due to first token, between tokens, due to final answer; microseconds
OVER = 5  # seconds after the last deadline at which what is open counts as unanswered
SPIN = 1300  # microseconds: timers of the loop are a millisecond late; the last one is waited for by looking
COLUMNS = ("due", "slip", "first", "whole", "tokens", "mix", "ending")


def histogram():
    return HdrHistogram(1, 600_000_000, 3)


class Straight:
    """Connections straight to engines, kept between calls."""

    def __init__(self):
        self.idle = {}

    def call(self, address, data, hear):
        kept = self.idle.setdefault(tuple(address), [])
        sock = kept.pop() if kept else socket.create_connection(tuple(address), timeout=2)
        sock.settimeout(60)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        clean, status, reader = False, 0, http.ResponseReader()
        try:
            sock.sendall(data)
            while not clean:
                came = sock.recv(65536)
                if not came:
                    raise OSError("closed in mid-answer")
                for event in reader.feed(came):
                    if event[0] == "head":
                        status = event[1].status
                    elif event[0] == "body":
                        hear(event[1])
                    else:
                        clean = True
        finally:
            if clean:
                kept.append(sock)
            else:
                sock.close()
        return status


class Worker:
    """One process of a run."""

    def __init__(self, told):
        """`told`: {"profile", "fronts" or "readers" and "writers", "worker", "workers", "model"}."""
        self.told, self.profile = told, msgspec.convert(told["profile"], Profile)
        self.random = random.Random("%s worker %d" % (self.profile.seed, told["worker"]))
        self.figures = {name: histogram() for name in NAMES}
        self.endings, self.rows, self.open = {}, [], 0
        self.sessions = [[None] * mix.sessions for mix in self.profile.mixes]
        shared = random.Random(self.profile.seed)
        self.openings = [
            [self._words(shared, mix.opening_words) for _ in range(mix.openings)]
            for mix in self.profile.mixes
        ]
        self.clients, self.straight, self.turn = {}, Straight(), 0

    @staticmethod
    def _words(rnd, count):
        return " ".join(rnd.choices(WORDS, k=count))

    def run(self, tick):
        """`tick()` is called each second."""
        rnd = random.Random("%s due" % self.profile.seed)
        greenlets, ticker = [], gevent.spawn(self._tick, tick)
        start = clock.now() + 200_000
        for due in due_times(self.profile, rnd, self.told["worker"], self.told["workers"]):
            due = start + int(due * 1e6)
            asked = self._prompt()  # made before it is due, not in its time
            wait = due - clock.now()
            if wait > SPIN:
                gevent.sleep((wait - SPIN) / 1e6)
            while clock.now() < due:
                gevent.sleep(0)
            greenlets.append(gevent.spawn(self._one, due - start, due, *asked))
            if len(greenlets) > 10_000:
                greenlets = [greenlet for greenlet in greenlets if not greenlet.ready()]
        gevent.joinall(greenlets, timeout=max(mix.deadline_ms for mix in self.profile.mixes) / 1000 + OVER)
        ticker.kill()
        for client in self.clients.values():
            client.close()

    def _tick(self, tick):
        while True:
            gevent.sleep(1)
            tick()

    def _prompt(self):
        """(number of the mix, mix, session's name, messages) of the next req."""
        number = self.random.choices(
            range(len(self.profile.mixes)), [mix.weight for mix in self.profile.mixes]
        )[0]
        mix, sessions = self.profile.mixes[number], self.sessions[number]
        place = self.random.randrange(len(sessions))
        kept = sessions[place]
        if kept is None or len(kept[1]) > 2 * mix.turns - 1:
            self.turn += 1
            kept = sessions[place] = (
                "w%d-%d" % (self.told["worker"], self.turn),
                [{"role": "system", "content": self.random.choice(self.openings[number])}],
            )
        elif len(kept[1]) > 1:
            kept[1].append(
                {"role": "assistant", "content": self._words(self.random, mix.max_tokens // 2 + 1)}
            )
        kept[1].append({"role": "user", "content": self._words(self.random, mix.turn_words)})
        return number, mix, kept[0], list(kept[1])

    def _one(self, at, due, number, mix, session, messages):
        row = [at, max(clock.now() - due, 1), None, None, 0, number, "unanswered"]
        self.rows.append(row)
        self.figures["slip"].record_value(row[1])
        last = [None]
        self.open += 1

        def tokens(index, texts):
            now = clock.now()
            if last[0] is None:
                row[2] = now - due
                self.figures["first"].record_value(max(row[2], 1))
            else:
                self.figures["gap"].record_value(max(now - last[0], 1))
            last[0] = now
            row[4] += len(texts)

        try:
            row[6] = (self._front if self.told.get("fronts") else self._engines)(
                mix, session, messages, tokens
            )
        except gevent.GreenletExit:
            pass
        except (OSError, Left, gevent.Timeout, http.BadBytes, wire.BadAnswer, ValueError) as why:
            row[6] = "failed: %s" % type(why).__name__
        row[3] = clock.now() - due
        self.figures["whole"].record_value(max(row[3], 1))
        self.endings[row[6]] = self.endings.get(row[6], 0) + 1
        self.open -= 1

    # ---- against fronts ----

    def _front(self, mix, session, messages, tokens):
        self.turn += 1
        fronts = self.told["fronts"]
        front = fronts[self.turn % len(fronts)]
        key = tuple(front), self.turn // len(fronts) % self.profile.connections
        client = self.clients.get(key)
        if client is None or not client.open:
            client = self.clients[key] = Client(tuple(front))
        params = {
            "messages": messages,
            "session": session,
            "max_tokens": mix.max_tokens,
            "deadline_ms": mix.deadline_ms,
        }
        for name in ("group", "customer"):
            if getattr(mix, name):
                params[name] = getattr(mix, name)
        answer = client.call("generate", params, tokens, within=mix.deadline_ms / 1000 + OVER)
        if "result" in answer:
            return "done"
        return (answer["error"].get("data") or {}).get("ending", "error %s" % answer["error"]["code"])

    # ---- against engines: the two calls that a front would make ----

    def _engines(self, mix, session, messages, tokens):
        self.turn += 1
        reader = self.told["readers"][self.turn % len(self.told["readers"])]
        writer = self.told["writers"][self.turn % len(self.told["writers"])]
        name, body = "load-%d-%d-%d" % (os.getpid(), self.told["worker"], self.turn), []
        trace = "00-%s-%s-01" % (os.urandom(16).hex(), os.urandom(8).hex())
        status = self.straight.call(
            reader, wire.read("engine", name + "r", trace, self.told["model"], messages), body.append
        )
        if status != 200:
            return "status %d" % status
        state, events, index = wire.read_answer(b"".join(body)).kv_transfer_params, wire.Events(), [0]

        def hear(data):
            for piece in events.feed(data):
                texts = (
                    [choice.delta.content for choice in piece.choices if choice.delta.content]
                    if piece
                    else []
                )
                if texts:
                    tokens(index[0], texts)
                    index[0] += len(texts)

        status = self.straight.call(
            writer,
            wire.write("engine", name + "w", trace, self.told["model"], messages, mix.max_tokens, state),
            hear,
        )
        return "done" if status == 200 else "status %d" % status


def worker(job):
    """What a process of a run does: a job's bytes; lines of JSON on standard output, the last one with all
    figures."""
    told = msgspec.json.decode(job)
    one = Worker(told)

    def say(**fields):
        sys.stdout.write(json.dumps(fields) + "\n")
        sys.stdout.flush()

    one.run(
        lambda: say(
            asked=len(one.rows),
            open=one.open,
            done=one.endings.get("done", 0),
            p99=one.figures["first"].get_value_at_percentile(99),
            slip=one.figures["slip"].get_value_at_percentile(99),
        )
    )
    with open(told["rows"], "wb") as file:
        file.write(zlib.compress(msgspec.msgpack.encode(one.rows), 1))
    say(
        end=True,
        asked=len(one.rows),
        endings=one.endings,
        **{name: one.figures[name].encode().decode() for name in NAMES},
    )


class Result(msgspec.Struct):
    """All workers together. `figures`: name -> HdrHistogram of microseconds."""

    asked: int
    endings: dict
    figures: dict
    lost: int  # workers that ended without their figures


def run(profile, target, workers, raw=None, progress=lambda told: None):
    """Plays a profile by several processes. `target`: {"fronts": [...]} or {"readers", "writers", "model"};
    addresses are (host, port).
    `raw`: a file for every req's row, compressed columns; `progress` takes a list of the workers' last words
    each second."""
    with tempfile.TemporaryDirectory(prefix="load-") as directory:
        popens, files = [], []
        for i in range(workers):
            files.append(os.path.join(directory, "rows-%d" % i))
            popen = subprocess.Popen(
                [sys.executable, "-m", "martenrouter", "load", "--worker"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            popen.stdin.write(
                msgspec.json.encode(
                    {
                        "profile": msgspec.to_builtins(profile),
                        "worker": i,
                        "workers": workers,
                        "rows": files[i],
                        **target,
                    }
                )
            )
            popen.stdin.close()
            popens.append(popen)
        last, whole = [None] * workers, [None] * workers

        def listen(i):
            for line in gevent.get_hub().threadpool.apply(_lines, (popens[i], last, i, progress)):
                whole[i] = line

        gevent.joinall([gevent.spawn(listen, i) for i in range(workers)])
        for popen in popens:
            popen.wait()
            popen.stdout.close()
        result = Result(0, {}, {name: histogram() for name in NAMES}, sum(one is None for one in whole))
        for one in whole:
            if one is None:
                continue
            result.asked += one["asked"]
            for ending, count in one["endings"].items():
                result.endings[ending] = result.endings.get(ending, 0) + count
            for name in NAMES:
                result.figures[name].decode_and_add(one[name])
        if raw:
            _write_raw(raw, profile, files)
        return result


def _lines(popen, last, i, progress):
    """Runs in a thread: a worker's lines as they come; gives the last one, if it holds its figures."""
    end = []
    for line in popen.stdout:
        told = json.loads(line)
        if told.get("end"):
            end.append(told)
        else:
            last[i] = told
            progress([one for one in last if one])
    return end


def _write_raw(path, profile, files):
    """Columns of all rows, each compressed for itself, behind a head of JSON that says how long they are."""
    rows = []
    for name in files:
        if os.path.exists(name):
            with open(name, "rb") as file:
                rows += msgspec.msgpack.decode(zlib.decompress(file.read()))
    rows.sort(key=lambda row: row[0])
    columns = [zlib.compress(msgspec.msgpack.encode([row[i] for row in rows])) for i in range(len(COLUMNS))]
    head = msgspec.json.encode(
        {
            "rows": len(rows),
            "columns": COLUMNS,
            "bytes": [len(column) for column in columns],
            "profile": msgspec.to_builtins(profile),
        }
    )
    with open(path + ".new", "wb") as file:
        file.write(b"marten-load-1\n" + head + b"\n" + b"".join(columns))
    os.replace(path + ".new", path)


def read_raw(path):
    """{column: values} of such a file. Raises ValueError for one that isn't whole."""
    with open(path, "rb") as file:
        if file.readline() != b"marten-load-1\n":
            raise ValueError("%s: is no file of load results" % path)
        head = msgspec.json.decode(file.readline())
        told = {}
        for name, size in zip(head["columns"], head["bytes"]):
            data = file.read(size)
            if len(data) != size:
                raise ValueError("%s: ends in column %s" % (path, name))
            told[name] = msgspec.msgpack.decode(zlib.decompress(data))
        return told
