"""One load process: open-loop reqs through a front, or straight to a reader and a writer; prints its figures
as JSON.

Run by bench/front.py. Arrivals are even in time and don't wait for answers; a late start counts as waiting.
"""

import json
import random
import sys

import gevent
from hdrh.histogram import HdrHistogram

from martenrouter.edge import clock
from martenrouter.edge.client import Client
from martenrouter.lab.load import Straight
from martenrouter.wire import engine


class Figures:
    def __init__(self):
        self.first, self.gap, self.done, self.other = (
            HdrHistogram(1, 60_000_000, 3),
            HdrHistogram(1, 60_000_000, 3),
            0,
            {},
        )


class Through:
    """Reqs over a few connections to a front."""

    def __init__(self, told, figures):
        self.clients = [Client((host, port)) for host, port in told["fronts"] for _ in range(4)]
        self.figures = figures

    def ask(self, i, due, prompt, max_tokens):
        last = [None]

        def tokens(index, texts):
            at = clock.now()
            if last[0] is None:
                self.figures.first.record_value(max(at - due, 1))
            else:
                self.figures.gap.record_value(max(at - last[0], 1))
            last[0] = at

        answer = self.clients[i % len(self.clients)].call(
            "generate",
            {"prompt": prompt, "session": "s%d" % (i % 200), "max_tokens": max_tokens, "deadline_ms": 20_000},
            tokens,
        )
        return "done" if "result" in answer else answer["error"]["data"]["reason"]


class Direct:
    """The same two calls made by the client itself, engines in turn, connections kept."""

    def __init__(self, told, figures):
        self.readers, self.writers, self.figures = told["readers"], told["writers"], figures
        self.call = Straight().call

    def ask(self, i, due, prompt, max_tokens):
        messages = [{"role": "user", "content": prompt}]
        read, body = self.readers[i % len(self.readers)], []
        self.call(
            read, engine.read("x", "d-%d-%d" % (clock.now(), i), "00-0-0-01", "m", messages), body.append
        )
        state = engine.read_answer(b"".join(body)).kv_transfer_params
        events, last = engine.Events(), [None]

        def hear(data):
            if any(piece and piece.choices and piece.choices[0].delta.content for piece in events.feed(data)):
                at = clock.now()
                (self.figures.gap if last[0] else self.figures.first).record_value(
                    max(at - (last[0] or due), 1)
                )
                last[0] = at

        status = self.call(
            self.writers[i % len(self.writers)],
            engine.write("x", "d-%d-w%d" % (clock.now(), i), "00-0-0-01", "m", messages, max_tokens, state),
            hear,
        )
        return "done" if status == 200 else "status %d" % status


def main():
    told = json.loads(sys.argv[1])
    figures, rnd = Figures(), random.Random(told["seed"])
    target = (Through if told["how"] == "front" else Direct)(told, figures)
    words = ["word%d" % rnd.randrange(1000) for _ in range(400)]
    work, start = [], clock.now()
    for i in range(int(told["rate"] * told["seconds"])):
        due = start + int(i * 1e6 / told["rate"])
        wait = due - clock.now()
        if wait > 0:
            gevent.sleep(wait / 1e6)
        at = rnd.randrange(200)
        prompt = "%d %s" % (i, " ".join(words[at : at + 60]))

        def one(i=i, due=due, prompt=prompt):
            try:
                ending = target.ask(i, due, prompt, told["max_tokens"])
            except Exception as why:
                ending = "%s: %s" % (type(why).__name__, why)
            if ending == "done":
                figures.done += 1
            else:
                figures.other[ending] = figures.other.get(ending, 0) + 1

        work.append(gevent.spawn(one))
    gevent.joinall(work, timeout=25)
    print(
        json.dumps(
            {
                "first": figures.first.encode().decode(),
                "gap": figures.gap.encode().decode(),
                "done": figures.done,
                "other": figures.other,
                "asked": len(work),
            }
        )
    )


if __name__ == "__main__":
    main()
