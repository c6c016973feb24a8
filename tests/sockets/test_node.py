"""The front node on real sockets: scripted engines, agent and clients, judged from what passes."""

import collections
import os
import select
import signal
import socket as plain_socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from unittest import mock

import gevent
from gevent import socket

from martenrouter.decisions.connections import RESTS
from martenrouter.edge import clock
from martenrouter.node import watch as watch_module
from martenrouter.node.leaving import TimeLine
from martenrouter.node.watch import Watch
from martenrouter.rules import draw
from martenrouter.wire import http
from tests.sockets.node_rig import BODY, EVENTS, HEAD, SETTINGS, Agent, Engine, Rig, request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def hang(engine, sock, call, nth):
    """Answers nothing until the node closes the connection."""
    while sock.recv(4096):
        pass
    raise OSError


def first(script):
    """`script` for the first call, the usual answer for all others."""
    return lambda engine, sock, call, nth: script(engine, sock) if nth == 1 else engine.answer(sock, call)


def sends(*pieces):
    """Bytes as an engine sends them; then the connection stays open, of no further use."""

    def script(engine, sock):
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(0.02)

    return script


def ends(*pieces):
    def script(engine, sock):
        for piece in pieces:
            sock.sendall(piece)
        sock.shutdown(socket.SHUT_RDWR)

    return script


class Deaf(Engine):
    """Answers no call to let go."""

    def _call(self, sock, head, body):
        if head.method == "DELETE":
            self.released.append("in vain")
            gevent.sleep(60)
        super()._call(sock, head, body)


class Case(unittest.TestCase):
    def rig(self, *engines, **settings):
        self.it = Rig(*engines, **settings)
        self.addCleanup(self.it.close)
        return self.it

    def pair(self, read=None, write=None, **settings):
        return self.rig(Engine("r", "prefill", script=read), Engine("w", "decode", script=write), **settings)

    def settled(self, rig):
        """Nothing is open, and what the module holds of engines is what the sockets hold: nothing."""
        rig.until(lambda: not rig.node.reqs and not rig.node.engines.out and not rig.node.engines.letting_go)
        gevent.sleep(0.01)
        told = rig.node.beliefs()
        self.assertEqual(
            (told["open"], told["module_open"], told["faults"], rig.node.desk.front.reqs), (0, 0, 0, {})
        )
        for id, engine in told["engines"].items():
            with self.subTest(engine=id):
                self.assertEqual(
                    [engine[name] for name in ("module_out", "out", "waiting", "pending", "streams")], [0] * 5
                )

    def deaf(self):
        """An address that takes no more connections: a forward to it hangs in connecting."""
        blocked = socket.socket()
        self.addCleanup(blocked.close)
        blocked.bind(("127.0.0.1", 0))
        blocked.listen(0)
        for sock in [socket.socket() for _ in range(3)]:
            sock.setblocking(False)
            try:
                sock.connect(blocked.getsockname())
            except OSError:
                pass
            self.addCleanup(sock.close)
        return "%s:%d" % blocked.getsockname()


class Path(Case):
    def test_read_then_written_unchanged(self):
        rig = self.pair()
        client = rig.client().send(request(path="/v1/chat/completions?trace=1"))
        status, _, body = client.answer()
        self.assertEqual((status, client.last), (200, True))
        self.assertEqual(body[: len(b"".join(EVENTS))], b"".join(EVENTS))
        for engine in rig.engines.values():
            (call,) = engine.calls
            self.assertEqual(
                (call["path"], call["body"], call["id"]),
                ("/v1/chat/completions?trace=1", BODY, "00000000000000a1"),
            )
            self.assertLessEqual(int(call["headers"]["x-timeout-ms"]), 3000)
        self.settled(rig)
        for engine in rig.node.desk.front.engines.values():
            self.assertEqual(engine.load, {"reqs_held": 1.0, "memory_share": 0.25})

    def test_what_the_client_says_to_whoever_serves_it_is_passed_on(self):
        # found on a variant of a site with a keyed group: its engines know a repeat by a key of the client's,
        # which was left out
        rig = self.pair()
        client = rig.client().ask(
            idempotency_key='"3f-9"',
            x_retried="1",
            connection="keep-alive, x-hop",
            x_hop="h",
            keep_alive="timeout=5",
            te="trailers",
            accept_encoding="gzip",
            x_odd="",
        )
        self.assertEqual(client.answer()[0], 200)
        for engine in rig.engines.values():
            headers = engine.calls[0]["headers"]
            self.assertEqual(
                [
                    headers.get(name)
                    for name in (
                        "idempotency-key",
                        "x-retried",
                        "x-route-key",
                        "x-attrs",
                        "x-odd",
                        "host",
                        "content-type",
                    )
                ],
                [
                    '"3f-9"',
                    "1",
                    "k1",
                    "prompt_len=1000,prefix_len=0,max_out=50",
                    "",
                    engine.address,
                    "application/json",
                ],
            )
            self.assertEqual(
                {"connection", "x-hop", "keep-alive", "te", "accept-encoding"} & set(headers), set()
            )
        self.assertEqual(rig.client().ask(x_large="y" * 9000).answer()[0], 431)

    def test_connections_are_kept_on_both_sides(self):
        rig = self.pair()
        client = rig.client()
        for n in range(5):
            self.assertEqual(client.ask("%016x" % n).answer()[0], 200)
            gevent.sleep(2 * RESTS / 1e6)
        self.assertEqual(rig.node.counters["connection_opened"], 2)

    def test_reqs_sent_ahead_are_answered_in_their_order(self):
        rig = self.pair()
        client = rig.client().send(b"".join(request("%016x" % n) for n in range(3)))
        self.assertEqual([client.answer()[0] for _ in range(3)], [200] * 3)
        self.assertEqual([call["id"] for call in rig.engines["w"].calls], ["%016x" % n for n in range(3)])

    def test_events_pass_on_as_they_come(self):
        go = gevent.event.Event()

        def slowly(engine, sock, call, nth):
            sock.sendall(HEAD + http.chunk(EVENTS[0]))
            go.wait(5)
            sock.sendall(b"".join(map(http.chunk, EVENTS[1:])) + http.chunk(b""))

        rig = self.pair(write=slowly)
        client = rig.client().ask()
        came = b""
        while EVENTS[0] not in came:
            came += client.sock.recv(4096)
        go.set()
        while EVENTS[3] not in came:
            came += client.sock.recv(4096)

    def test_pushed_back_with_a_time_to_return(self):
        rig = self.pair(
            read=lambda engine, sock, call, nth: sock.sendall(http.response(503, [("x-not-processed", "1")]))
        )
        status, headers, _ = rig.ask()
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.settled(rig)


class Endings(Case):
    def test_what_may_be_tried_again_is(self):
        """One that never ran, one that may have, for a replayable req: the second call answers."""
        cases = [
            ends(http.response(503, [("x-not-processed", "1")])),
            ends(http.response(504, [("x-not-processed", "1")])),
            ends(http.response(500, ())),
            ends(),
            ends(b"\x00\xffnoise\r\n\r\n" * 9),
            ends(b"HTTP/1.1 200 OK\r\nx: " + b"y" * 90_000),
            ends(HEAD + b"zz\r\n"),
            ends(HEAD + http.chunk(b"data: {\n\n")),
            ends(HEAD + http.chunk(b"data: [1]\n\n")),
        ]
        for n, script in enumerate(cases):
            with self.subTest(case=n):
                rig = self.rig(
                    Engine("r", "prefill"),
                    Engine("w", "decode", script=first(script)),
                    Engine("v", "decode", script=first(script)),
                )
                self.assertEqual(rig.ask()[0], 200)
                self.settled(rig)
                rig.close()

    def test_non_replayable_is_sent_again_only_if_it_never_ran(self):
        for script, status, calls in (
            (ends(http.response(503, [("x-not-processed", "1")])), 200, 2),
            (ends(http.response(503, ())), 502, 1),
            (ends(), 502, 1),
            (ends(b"noise"), 502, 1),
        ):
            with self.subTest(status=status):
                rig = self.pair(write=first(script))
                self.assertEqual(rig.ask(x_priority_class="order")[0], status)
                self.assertEqual(len(rig.engines["w"].calls), calls)
                self.settled(rig)
                rig.close()

    def test_keyed_is_not_repeated_over_a_connection_that_came_up_after_its_window(self):
        for window, status, calls in ((200_000, (502, 503), 0), (60_000_000, (200,), 1)):
            with self.subTest(window=window):
                grade = {
                    "name": "keyed",
                    "effect": "guarded",
                    "group": "all",
                    "window-us": window,
                    "goal-time-us": 2_000_000,
                }
                rig = self.rig(
                    Engine("r", "prefill"),
                    Engine("w", "decode", script=first(ends())),
                    Engine("v", "decode", script=first(ends())),
                    grades=[grade],
                    **{"family-info": {**SETTINGS["family-info"], "pin-limit-us": 5_000_000}},
                )
                connect, writers = rig.node.engines._connect, []

                def late(engine, *args, **more):
                    if engine != "r":
                        writers.append(engine)
                        if len(writers) == 2:
                            gevent.sleep(0.4)  # twice the shorter window
                    return connect(engine, *args, **more)

                rig.node.engines._connect = late
                self.assertIn(
                    rig.client().ask(x_priority_class="keyed", x_timeout_ms="4000").answer()[0], status
                )
                self.assertEqual(len(rig.engines[writers[1]].calls) - (writers[0] == writers[1]), calls)
                self.settled(rig)
                rig.close()

    def test_state_that_is_gone_is_read_anew(self):
        rig = self.pair(write=first(ends(http.response(410, [("x-not-processed", "1")]))))
        self.assertEqual(rig.ask()[0], 200)
        self.assertEqual(len(rig.engines["r"].calls), 2)
        self.settled(rig)

    def test_stream_that_breaks_ends_without_its_last_chunk(self):
        cases = [
            ends(HEAD + http.chunk(EVENTS[0])),
            ends(HEAD + http.chunk(EVENTS[0]) + http.chunk(b"")),
            sends(HEAD + http.chunk(EVENTS[0]), b"q!\r\n"),
            sends(HEAD + http.chunk(EVENTS[0]), http.chunk(b"data: nonsense\n\n")),
            sends(HEAD + http.chunk(EVENTS[0]), b"c0000000\r\n" + b"x" * 300_000, b"x" * 900_000),
            sends(HEAD + http.chunk(EVENTS[0]), b"5\r\ndata: much longer\r\n"),
        ]
        for n, script in enumerate(cases):
            with self.subTest(case=n):
                rig = self.pair(write=lambda engine, sock, call, nth: script(engine, sock))
                client = rig.client().ask()
                status, _, body = client.answer()
                self.assertEqual((status, body, client.last), (200, EVENTS[0], False))
                self.settled(rig)
                rig.close()

    def test_half_an_event_that_never_ends_lets_the_client_off(self):
        rig = self.pair(
            write=lambda engine, sock, call, nth: (
                sends(HEAD + http.chunk(EVENTS[0]), b"40\r\ndata: ")(engine, sock) or gevent.sleep(60)
            )
        )
        client = rig.client().ask()
        self.assertEqual((client.answer()[2], client.last), (EVENTS[0], False))
        self.settled(rig)

    def test_good_answer_with_more_than_belongs_to_it(self):
        whole = HEAD + b"".join(map(http.chunk, EVENTS)) + http.chunk(b"")
        for n, more in enumerate(
            (b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", b"\x00noise", b"HTTP/1.1 200 OK\r\n")
        ):
            with self.subTest(case=n):
                rig = self.pair(
                    write=lambda engine, sock, call, nth: sock.sendall(
                        b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                        + whole
                        + more
                    )
                )
                client = rig.client()
                for id in ("1" * 16, "2" * 16):
                    status, _, body = client.ask(id).answer()
                    self.assertEqual((status, body, client.last), (200, b"".join(EVENTS), True))
                    gevent.sleep(2 * RESTS / 1e6)
                self.assertEqual(rig.node.counters["connection_opened"], 3)  # the reader's one is kept
                rig.close()

    def test_load_reports_that_cannot_be_read_are_as_none(self):
        for report in ("", "inflight=x", "inflight", "x0=nan", "x0=-1", "inflight=1e400"):
            rig = self.pair(read=lambda engine, sock, call, nth: engine.answer(sock, call, load=report))
            self.assertEqual(rig.ask()[0], 200)
            self.assertIsNone(rig.node.desk.front.engines["r"].load)
            rig.close()


class ClientsThatLeave(Case):
    """Nothing begins for a client that has closed, read or not: FIN, a reset, or only its half, which counts
    as gone too."""

    WAYS = {
        "fin": lambda sock: sock.close(),
        "half": lambda sock: sock.shutdown(socket.SHUT_WR),
        "reset": lambda sock: (
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
            sock.close(),
        ),
    }

    def test_no_further_forward_begins(self):
        for way, leave in self.WAYS.items():
            for heard in (True, False):  # False: the loop is behind, nobody has read the client's end yet
                with self.subTest(way=way, heard=heard):
                    go = gevent.event.Event()
                    rig = self.pair(
                        read=lambda engine, sock, call, nth: go.wait(5) and engine.answer(sock, call)
                    )
                    client = rig.client().ask()
                    rig.until(lambda: rig.engines["r"].calls)
                    if not heard:
                        rig.node.client_left = lambda r: None
                    leave(client.sock)
                    gevent.sleep(0.02)
                    go.set()
                    rig.until(lambda: not rig.node.engines.out)
                    gevent.sleep(0.05)
                    self.assertEqual(rig.engines["w"].calls, [])
                    rig.close()

    def test_no_first_forward_begins_after_a_connection_that_came_up_late(self):
        for way, leave in self.WAYS.items():
            with self.subTest(way=way):
                rig, go = self.pair(), gevent.event.Event()
                connect = rig.node.engines._connect
                rig.node.engines._connect = lambda *args, **more: go.wait(5) and connect(*args, **more)
                rig.node.client_left = lambda r: None
                client = rig.client().ask()
                rig.until(lambda: rig.node.engines.out)
                leave(client.sock)
                gevent.sleep(0.02)
                go.set()
                gevent.sleep(0.05)
                self.assertEqual(rig.engines["r"].calls, [])
                rig.close()

    def test_a_req_sent_ahead_begins_nothing_after_the_close(self):
        rig = self.pair(read=hang)
        client = rig.client().ask("1" * 16).ask("2" * 16)
        rig.until(lambda: rig.engines["r"].calls)
        client.close()
        self.settled(rig)
        self.assertEqual([call["id"] for call in rig.engines["r"].calls], ["1" * 16])


RELEASED_WITHIN = 0.6  # seconds: 0.3 by the settings and 0.3 that sockets have more


class LettingGo(Case):
    def test_client_that_leaves_while_a_writer_holds_its_req(self):
        """The module cancels the last forward and lets go right behind it, in one round."""
        rig = self.pair(write=hang)
        client = rig.client().ask()
        rig.until(lambda: rig.engines["w"].calls)
        client.close()
        rig.until(lambda: rig.engines["r"].released)
        rig.until(lambda: not rig.engines["w"].socks)
        self.settled(rig)
        self.assertEqual(
            rig.engines["r"].released, ["00000000000000a1"] * 2
        )  # again: the first may come before the close

    def test_read_that_broke_may_have_left_a_state(self):
        rig = self.pair(read=ends_always())
        self.assertEqual(rig.ask()[0], 503)
        rig.until(lambda: self.released(rig), within=RELEASED_WITHIN)
        self.settled(rig)

    @staticmethod
    def released(rig):
        """Whether any server was asked to release: each takes the call for any request."""
        return any(engine.released for engine in rig.engines.values())

    def test_state_of_a_broken_read_goes_while_other_engines_take_no_connection(self):
        # found on a fleet day: a read was reset, then one engine after the other of a silent zone took 250 ms
        # to fail; what the read may have left stayed for a second, since a forward that only connects counted
        # as out
        home, *others = sorted(("r%d" % i for i in range(4)), key=lambda id: -draw("k1", id))
        rig = self.rig(
            Engine(home, "prefill", script=ends_always()),
            Engine("w", "decode"),
            *(Engine(id, "prefill") for id in others),
        )
        rig.agent.tell(2, [{**rig.engines[id].member(), "host_port": self.deaf()} for id in others])
        rig.until(lambda: rig.node.watch.revision == 2)
        client = rig.client().ask()
        rig.until(lambda: self.released(rig), within=RELEASED_WITHIN)
        self.assertEqual(
            [f.engine in others for f in rig.node.engines.out.values()], [True]
        )  # connecting just then
        self.assertEqual(client.answer()[0], 503)
        self.settled(rig)

    def test_state_of_a_silent_read_goes_by_an_engine_that_answered_lately(self):
        # guards against a call made first at the engine that has just been silent, which costs the time that
        # the state has left
        def then_silent(engine, sock, call, nth):
            return engine.answer(sock, call) if nth == 1 else hang(engine, sock, call, nth)

        rig = self.rig(Deaf("r", "prefill", script=then_silent), Engine("w", "decode"))
        self.assertEqual(rig.ask()[0], 200)
        self.assertEqual(rig.ask("00000000000000a2", x_timeout_ms="400")[0], 503)
        rig.until(lambda: "00000000000000a2" in rig.engines["w"].released)
        self.settled(rig)
        self.assertEqual(rig.engines["r"].released, [])

    def test_call_that_fails_is_made_at_another_engine(self):
        rig = self.rig(Deaf("r", "prefill"), Engine("w", "decode", script=hang))
        client = rig.client().ask()
        rig.until(lambda: rig.engines["w"].calls)
        client.close()
        rig.until(lambda: rig.engines["w"].released)

    def test_client_that_leaves_in_mid_stream_ends_it(self):
        def endless(engine, sock, call, nth):
            sock.sendall(HEAD)
            while True:
                sock.sendall(http.chunk(EVENTS[0]))
                gevent.sleep(0.01)

        rig = self.pair(write=endless)
        client = rig.client().ask()
        client.sock.recv(10)
        client.close()
        rig.until(lambda: not rig.engines["w"].socks)
        self.settled(rig)


def ends_always():
    return lambda engine, sock, call, nth: ends()(engine, sock)


class Beliefs(Case):
    def test_what_is_out_is_what_the_sockets_hold(self):
        rig = self.rig(
            Engine("r", "prefill"), Engine("w", "decode", script=hang), Engine("v", "decode", script=hang)
        )
        clients = [rig.client().ask("%016x" % n) for n in range(4)]
        rig.until(lambda: sum(len(rig.engines[id].calls) for id in "wv") == 4)
        gevent.sleep(0.01)
        told = rig.node.beliefs()["engines"]
        for id in "wv":
            seen = len(rig.engines[id].calls)
            self.assertEqual([told[id][name] for name in ("module_out", "out", "waiting")], [seen] * 3)
        for client in clients:
            client.close()
        self.settled(rig)

    def test_engine_that_restarts_is_cold_and_forgotten(self):
        rig = self.pair()
        self.assertEqual(rig.ask()[0], 200)
        front = rig.node.desk.front
        self.assertTrue(front.engines["r"].kept)
        engine = rig.engines["r"]
        engine.start = int(__import__("time").time() * 1000)
        for revision in (2, 3):  # told twice: one start
            rig.agent.tell(revision, [engine.member()])
            rig.until(lambda: rig.node.watch.revision == revision)
            gevent.sleep(0.01)
        born = front.engines["r"].born
        self.assertLess(abs(rig.node.desk.front.now - born), 5_000_000)
        self.assertLess(front.warmth(front.engines["r"]), 1)


class List(Case):
    def test_drain_holds_also_for_what_was_connecting(self):
        rig = self.pair()
        engine = rig.engines["r"]
        # a forward hangs in connecting while the drain is told
        rig.agent.tell(2, [{**engine.member(), "host_port": self.deaf()}])
        rig.until(lambda: rig.node.watch.revision == 2)
        client = rig.client().ask()
        rig.until(lambda: rig.node.engines.out)
        rig.agent.tell(3, [engine.member("leaving")])
        status, _, _ = client.answer()
        self.assertEqual((status, engine.calls), (503, []))

    def test_every_line_of_a_watch_is_followed(self):
        rig = self.pair()
        for revision, phase in (
            (2, "leaving"),
            (3, "active"),
            (1, "leaving"),
        ):  # an older revision was told all the same
            rig.agent.tell(revision, [rig.engines["r"].member(phase)])
            rig.until(lambda: rig.node.phases["r"] == {"leaving": "draining", "active": "up"}[phase])
        rig.agent.tell(4, [rig.engines["r"].member("left")])
        rig.until(lambda: "r" not in rig.node.phases)
        self.assertEqual(rig.ask()[0], 503)
        rig.agent.tell(5, [rig.engines[id].member() for id in "rw"], complete=True)
        rig.until(lambda: "r" in rig.node.phases)
        self.assertEqual(rig.ask("b" * 16)[0], 200)

    def test_watch_begins_again_from_its_revision(self):
        rig = self.pair()
        rig.agent.greeting = rig.agent.line(7, [])
        rig.agent.tell(7, [])
        rig.until(lambda: rig.node.watch.revision == 7)
        for nonsense in (
            http.chunk(b"{nonsense\n"),
            http.chunk(b'{"revision":8}\n'),
            b"zz\r\n",
            http.chunk(b""),
        ):
            before = len(rig.agent.asked)
            rig.agent.raw(nonsense)
            rig.until(lambda: len(rig.agent.asked) > before)
            self.assertIn("index=7", rig.agent.asked[-1])
        self.assertEqual(rig.ask()[0], 200)

    def test_silent_agent_is_asked_again_and_the_last_list_serves(self):
        rig = self.pair()
        rig.agent.greeting = None
        before = len(rig.agent.asked)
        rig.until(lambda: len(rig.agent.asked) > before + 1, within=10)
        self.assertEqual(rig.ask()[0], 200)

    def test_each_way_in_which_a_watch_fails_leads_to_a_new_one(self):
        # the term: what discovery has counts as told, whatever failed before; each of these had to end for
        # the change to be heard
        trickle = http.chunk(b'{"revision":2,') + http.chunk(b' "complete"')
        for name, greeting, then in (
            ("silent", Agent.line(1, []), b""),
            ("no answer", None, b""),
            ("half a line", b'{"revision":2,', b""),
            ("bytes without a line's end", b'{"revision":2,', trickle),
            ("cut off", b'{\n"revision":2,\n', b"zz\r\n"),
            ("not taken in", Agent.line(2, [{"id": "x", "host_port": "nowhere"}]), b""),
        ):
            with self.subTest(fails=name):
                rig = self.pair()
                rig.agent.greeting, before = greeting, len(rig.agent.asked)
                rig.agent.raw(http.chunk(b""))  # ends the watch that is open
                rig.until(lambda: len(rig.agent.asked) > before)
                rig.agent.greeting = Agent.line(3, [rig.engines["r"].member("leaving")])
                feeder = gevent.spawn(self.feed, rig.agent, then)
                rig.until(lambda: rig.node.phases["r"] == "draining", within=20)
                feeder.kill()
                self.assertTrue(all("index=1" in path for path in rig.agent.asked), rig.agent.asked)
                self.it.close()

    def feed(self, agent, data):
        while data:
            gevent.sleep(0.1)
            agent.raw(data)

    def test_the_longest_chain_of_failed_calls_ends_within_the_term(self):
        # played with the watch's own constants, all of them so many times shorter
        names = ("SILENT", "NEXT_CALL", "ANSWERED_WITHIN", "FIRST", "LONGEST")
        shorter = {name: getattr(watch_module, name) / CHAIN_FASTER for name in names}

        class Chain(Watch):
            def _follow(self, call):
                self.begun.append(time.monotonic())
                step = steps.pop(0)
                if step == "refused":
                    raise OSError
                if step == "answered":
                    self.ended.set()
                if step == "silent":
                    self._is_answered(call)
                gevent.sleep(shorter["SILENT" if step == "silent" else "ANSWERED_WITHIN"])
                raise gevent.Timeout

        for steps in (
            ["silent", "hangs", "hangs", "answered"],
            ["silent", "refused", "hangs", "hangs", "answered"],
            ["hangs"] * 9 + ["answered"],
            ["refused"] * 40 + ["answered"],
            ["silent", "hangs", "refused", "refused", "refused", "answered"],
        ):
            outage = (
                steps[0] != "silent"
            )  # then the agent may have come back in the last call that failed, at its begin
            with self.subTest(steps=list(steps)), mock.patch.multiple(watch_module, **shorter):
                chain = Chain(("127.0.0.1", 1), 0, None, collections.Counter(), mock.Mock())
                chain.begun, chain.ended = [], gevent.event.Event()
                chain.start()
                self.assertTrue(chain.ended.wait(timeout=10))
                chain.greenlet.kill()
                took = chain.begun[-1] - chain.begun[-2 if outage else 0]
                self.assertLess(took * CHAIN_FASTER, 6)

    def test_reload_moves_to_another_agent_and_a_bad_file_changes_nothing(self):
        rig, other = self.pair(), Agent()
        self.addCleanup(other.server.stop)
        for bad in ("", "{", '{"name":1}', "[]"):
            rig.write(None, data=bad)
            rig.node.reload()
        rig.write("no address")
        rig.node.reload()
        self.assertEqual((rig.node.counters["reloaded"], other.asked), (0, []))
        rig.write(other.address)
        rig.node.reload()
        rig.until(lambda: other.open and not rig.agent.open)
        other.tell(9, [rig.engines["r"].member("leaving")])
        rig.until(lambda: rig.node.phases["r"] == "draining")
        self.assertEqual(len(rig.node.phases), 2)


CHAIN_FASTER = 10  # times that the watch's bounds are shorter where a chain of them is played


BAD = {
    "noise": b"\x16\x03\x01\x02\x00\x01\x00" * 30,
    "no length": b"POST /v1/chat/completions HTTP/1.1\r\n\r\n",
    "negative": request(content_length="-5"),
    "huge": request(content_length="9" * 30),
    "60 MB": request(content_length="60000000"),
    "doubled": request().replace(b"content-length", b"content-length: 3\r\ncontent-length"),
    "hidden": request().replace(b"content-length", b"transfer-encoding: chunked\r\ncontent-length"),
    "endless head": b"GET / HTTP/1.1\r\nx: " + b"y" * 300_000,
    "endless line": b"GET /" + b"y" * 300_000,
    "unknown class": request(x_priority_class="nobody"),
    "no class": request(x_priority_class=None),
    "deadline": request(x_timeout_ms="soon"),
    "negative deadline": request(x_timeout_ms="-4"),
    "digits of another script": request(x_timeout_ms="\xb2"),
    "no id": request(x_request_id=None),
    "odd id": request(x_request_id="a b/../c"),
    "not JSON": request(body=b"{" * 40),
    "no messages": request(body=b'{"model":"chat"}'),
    "not text": request(body=b'"\xff\xfe"'),
    "lengths": request(x_attrs="prompt_len=-4,prefix_len=x"),
    "huge lengths": request(x_attrs="prompt_len=99999999999999"),
    "large chunks": request(content_length=None, transfer_encoding="chunked", body=b"")
    + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 9,
    "elsewhere": request(path="/etc"),
    "old": request().replace(b"HTTP/1.1", b"HTTP/1.0"),
    "half": request()[:-7],
    "half a head": request()[:60],
    "nothing": b"",
    "line ends": b"\r\n" * 100,
}


class Size(Case):
    def test_a_thousand_engines_within_the_descriptors_of_a_small_machine(self):
        """All stand behind two sockets; half of them are told to drain on the way."""
        rig = self.pair()

        def members(phase="active", part=1):
            return [
                dict(engine.member(phase), id="%s-%d" % (engine.id, i))
                for engine in rig.engines.values()
                for i in range(0, 512, part)
            ]

        rig.agent.tell(2, members(), complete=True)
        rig.until(lambda: len(rig.node.phases) == 1024)
        client = rig.client()
        for i in range(60):
            self.assertEqual(client.ask("%016x" % i, x_route_key="k%d" % i).answer()[0], 200)
        self.assertLess(rig.node.engines.kept.count, 40)
        rig.agent.tell(3, members("leaving", 2))
        rig.until(lambda: sum(phase == "draining" for phase in rig.node.phases.values()) == 512)
        for i in range(60, 90):
            self.assertEqual(client.ask("%016x" % i, x_route_key="k%d" % i).answer()[0], 200)
        self.assertLess(rig.node.engines.kept.count, 40)
        self.assertLess(rig.node.beliefs()["descriptors"], 256)
        self.assertEqual(rig.node.desk.faults, 0)


class BadClients(Case):
    def test_each_gets_an_error_or_a_close_and_no_engine_hears_of_it(self):
        rig = self.pair()
        clients = {name: rig.client() for name in BAD}
        for name, client in clients.items():
            try:
                client.send(BAD[name])
            except ConnectionError:
                pass  # closed already
        for name, client in clients.items():
            with self.subTest(name=name):
                status, _, _ = client.answer()
                self.assertTrue(status is None or status >= 400, status)
        self.assertEqual([engine.calls for engine in rig.engines.values()], [[], []])
        self.assertEqual(rig.ask()[0], 200)

    def test_error_is_not_reset_away(self):
        rig = self.pair()
        client = rig.client().send(request(content_length="60000000"))
        try:
            for _ in range(30):
                client.send(b"x" * 100_000)
        except ConnectionError:
            pass
        self.assertEqual(client.answer()[0], 413)

    def test_id_of_an_open_req_leaves_that_one_alone(self):
        go = gevent.event.Event()
        rig = self.pair(read=lambda engine, sock, call, nth: go.wait(5) and engine.answer(sock, call))
        honest = rig.client().ask()
        rig.until(lambda: rig.engines["r"].calls)
        self.assertEqual(rig.ask()[0], 409)
        go.set()
        self.assertEqual(honest.answer()[0], 200)
        self.assertEqual(len(rig.engines["r"].calls), 1)

    def test_hundreds_of_silent_connections_make_room(self):
        rig = self.pair(sockets=64)
        silent = [rig.client() for _ in range(150)]
        gevent.sleep(0.05)
        self.assertLessEqual(len(rig.node.door.conns), 33)
        self.assertEqual(rig.ask()[0], 200)
        for client in silent:
            self.assertTrue(client.closed())

    def test_reqs_over_the_bound_are_pushed_back_and_the_others_served(self):
        # guards the reserve of descriptors: each open req may hold one at an engine, whatever its client's
        # connection
        go = gevent.event.Event()
        rig = self.pair(
            read=lambda engine, sock, call, nth: go.wait(5) and engine.answer(sock, call), sockets=64
        )
        clients = [rig.client().ask("%016x" % i, x_route_key="k%d" % i) for i in range(25)]
        gevent.sleep(0.1)
        self.assertEqual(len(rig.node.reqs), 21)
        go.set()
        told = [client.answer() for client in clients]
        self.assertEqual(
            [(status, "retry-after" in headers) for status, headers, _ in told],
            [(200, False)] * 21 + [(503, True)] * 4,
        )

    def test_hidden_req_is_never_passed_on(self):
        rig = self.pair()
        inner = request("c" * 16)
        body = b"0\r\n\r\n" + inner
        outer = request("d" * 16, body=body, transfer_encoding="chunked")
        self.assertGreaterEqual(rig.client().send(outer).answer()[0], 400)
        gevent.sleep(0.05)
        self.assertEqual(rig.engines["r"].calls, [])

    def test_client_that_reads_nothing_is_closed(self):
        def much(engine, sock, call, nth):
            event = b'data: {"choices":[{"delta":{"content":"%s"}}]}\n\n' % (b"x" * 4000)
            sock.sendall(HEAD)
            for _ in range(60):
                sock.sendall(http.chunk(event))
            gevent.sleep(60)

        rig = self.pair(write=much)
        clients = [rig.client().ask("%016x" % n) for n in range(3)]
        rig.until(lambda: len(rig.engines["w"].calls) == 3)
        gevent.sleep(0.1)
        self.assertLess(sum(len(conn.buffer) for conn in rig.node.door.conns.values()), 3 * 256 * 1024 + 1)
        for client in clients:
            client.close()
        self.settled(rig)


class Life(Case):
    def begin(self, rig, before="exec "):
        """A node of its own process with the rig's list and engines."""
        free = socket.socket()
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
        free.close()
        with open(rig.path) as file:
            text = file.read().replace('"127.0.0.1:0"', '"127.0.0.1:%d"' % address[1])
        rig.write(None, data=text)
        log = tempfile.TemporaryFile()
        process = subprocess.Popen(
            ["sh", "-c", '%s"$0" -m martenrouter node "$1"' % before, sys.executable, rig.path],
            cwd=ROOT,
            stderr=log,
        )
        self.addCleanup(log.close)
        self.addCleanup(lambda: process.poll() is None and process.kill())

        def ready():
            try:
                return rig.client(address).send(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").answer()[0] == 200
            except OSError:
                return False

        rig.until(ready, within=20)
        return process, address, log

    def ended(self, rig, process, log):
        rig.until(lambda: process.poll() is not None, within=20)
        log.seek(0)
        told = log.read()
        self.assertEqual((process.returncode, b'"unanswered": 0' in told), (0, True), told)

    def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_cut_off_neither_news_nor_others(
        self,
    ):
        rig = self.pair(sockets=64)
        process, address, log = self.begin(rig, "ulimit -n 64; exec ")
        rig.agent.server.stop()  # no call is answered any more, and the open watch ends
        for sock in list(rig.agent.open):
            sock.close()
        idle = [rig.client(address) for _ in range(300)]
        gevent.sleep(0.5)
        again = Agent()
        self.addCleanup(again.server.stop)
        again.greeting = Agent.line(2, [rig.engines["r"].member("leaving")])
        with open(rig.path) as file:
            text = file.read().replace(rig.agent.address, again.address)
        rig.write(None, data=text)
        process.send_signal(signal.SIGHUP)
        rig.until(lambda: again.asked, within=20)
        # refused for the drain, so it was heard; and the door still takes connections
        rig.until(lambda: rig.client(address).ask("3" * 16).answer()[0] == 503, within=20)
        self.assertEqual(rig.engines["r"].calls, [])
        again.tell(3, [rig.engines["r"].member()])
        rig.until(lambda: rig.client(address).ask("%016x" % len(rig.clients)).answer()[0] == 200, within=20)
        self.assertEqual(len(idle), 300)
        process.send_signal(signal.SIGTERM)
        self.ended(rig, process, log)
        log.seek(0)
        self.assertNotIn(b"Too many open files", log.read())

    # Soak seed 6047: a further SIGTERM to a process that was just ending ended it as a crash does.
    def test_signals_in_series_to_the_very_end_leave_the_exit_code_as_it_is(self):
        rig = self.pair()
        process, _, log = self.begin(rig)
        with gevent.Timeout(10, AssertionError("still there after 10 s")):
            while process.poll() is None:
                process.send_signal(signal.SIGTERM)
                gevent.sleep(0.002)
        self.ended(rig, process, log)

    def test_planned_stop_finishes_what_was_taken_and_serves_what_still_comes(self):
        go = gevent.event.Event()

        def slowly(engine, sock, call, nth):
            sock.sendall(HEAD + http.chunk(EVENTS[0]))
            go.wait(10)
            sock.sendall(b"".join(map(http.chunk, EVENTS[1:])) + http.chunk(b""))

        family = {**SETTINGS["family-info"], "resume": False}
        rig = self.pair(write=slowly, **{"family-info": family})
        process, address, log = self.begin(rig)
        open_one = rig.client(address).ask("1" * 16)
        rig.until(lambda: rig.engines["w"].calls)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        gevent.sleep(0.1)
        self.assertEqual(rig.client(address).send(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").answer()[0], 503)
        late = rig.client(address).ask("2" * 16)
        rig.until(lambda: len(rig.engines["w"].calls) == 2)
        go.set()
        for client in (open_one, late):
            status, headers, _ = client.answer()
            self.assertEqual((status, client.last), (200, True))
        self.assertEqual(headers.get("connection"), "close")
        self.ended(rig, process, log)

    def test_what_came_just_before_a_close_is_answered(self):
        """The clients here write without giving the node's loop a turn: their bytes and connections wait in
        the system."""
        for name, act in (
            ("idle for long", lambda node: node.door.sweep(clock.now() + 60_000_000)),
            ("stopping", lambda node: node.door.retire()),
            ("listening ends", lambda node: node.door.stop_listening()),
        ):
            with self.subTest(close=name):
                rig = self.pair()
                plain = [plain_socket.create_connection(rig.address)]
                if name != "listening ends":
                    gevent.sleep(0.05)
                else:
                    plain += [plain_socket.create_connection(rig.address) for _ in range(40)]
                for n, sock in enumerate(plain):
                    sock.sendall(request("%016x" % n, x_route_key="k%d" % n))
                act(rig.node)
                # the node runs in this process: a client that waits in the system would hold it up
                rig.until(lambda: len(select.select(plain, (), (), 0)[0]) == len(plain))
                for sock in plain:
                    sock.settimeout(2)
                    self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))
                    sock.close()
                rig.close()

    def test_planned_stop_moves_streams_where_clients_ask_for_the_rest(self):
        """And serves connections that are kept for longer: another front may be down just then."""

        def endless(engine, sock, call, nth):
            if nth == 2:
                return engine.answer(sock, call)
            sock.sendall(HEAD + http.chunk(EVENTS[0]))
            while sock.recv(4096):
                pass
            raise OSError

        rig = self.pair(write=endless)
        process, address, log = self.begin(rig)
        running, kept = rig.client(address).ask("1" * 16), rig.client(address)
        rig.until(lambda: rig.engines["w"].calls)
        kept.send(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").answer()
        process.send_signal(signal.SIGTERM)
        gevent.sleep(1.2)
        with self.assertRaises(OSError):
            rig.client(address)
        self.assertEqual((kept.ask("2" * 16).answer()[0], kept.last), (200, True))
        status, _, body = running.answer()
        self.assertEqual((status, body, running.last), (200, EVENTS[0], False))
        self.ended(rig, process, log)
        rig.until(lambda: not rig.engines["w"].socks)

    def test_planned_stop_answers_before_the_kill_whatever_the_deadline(self):
        """Open reqs and one taken after SIGTERM: the kill would come long before the minute that their
        clients wait."""
        for resume in (True, False):
            rig = self.pair(
                write=hang,
                grades=[dict(SETTINGS["grades"][0], **{"deadline-us": 1_000_000})],
                **{"family-info": dict(SETTINGS["family-info"], resume=resume)},
            )
            process, address, log = self.begin(rig)
            open_one, late = rig.client(address).ask("1" * 16, x_timeout_ms="60000"), rig.client(address)
            rig.until(lambda: rig.engines["w"].calls)
            process.send_signal(signal.SIGTERM)
            late.ask("2" * 16, x_timeout_ms="60000")
            for client in (open_one, late):
                status, headers, _ = client.answer()
                self.assertEqual((status, client.last), (503, True))
                self.assertIn("retry-after", headers)
            self.ended(rig, process, log)

    def test_time_line_of_a_stop_follows_from_the_settings(self):
        for deadlines, answered in (
            ((4_000_000,), 3_500_000),
            ((1_000_000,), 1_500_000),
            ((500_000, 2_000_000), 2_500_000),
            ((), 3_500_000),
            ((None,), 3_500_000),
        ):
            for resume in (True, False):
                line = TimeLine(
                    {"groups": [{"deadline": one} for one in deadlines], "streams_resume": resume}
                )
                self.assertEqual(line.answered, answered)
                self.assertLessEqual(line.coming, line.kept)
                self.assertLess(line.kept, line.answered)
                if resume:
                    self.assertLess(line.moves, line.moved)
                    self.assertLess(line.moved, line.last)
                    self.assertLess(line.last, line.answered)
                else:
                    self.assertIsNone(line.moves)
        kept = [
            TimeLine({"groups": [{"deadline": 4_000_000}], "streams_resume": True, "fronts": n}).kept
            for n in (1, 2, 3, 200)
        ]
        self.assertEqual(kept[0], kept[1])
        self.assertEqual(kept, sorted(kept, reverse=True))
        self.assertGreater(kept[0], 3 * kept[3])

    def test_bad_configuration_is_named(self):
        rig = self.pair()
        cases = (("{", "unusable"), ('{"name":"n"}', "listen"), ("[]", "unusable"))
        for data, says in cases:
            rig.write(None, data=data)
            done = subprocess.run(
                [sys.executable, "-m", "martenrouter", "node", rig.path],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            self.assertNotEqual(done.returncode, 0)
            self.assertIn(says, done.stderr)
            self.assertNotIn("Traceback", done.stderr)

    def test_only_what_a_node_needs_is_loaded(self):
        code = (
            "import sys; import martenrouter.cli.node, martenrouter.cli.main, martenrouter.node.life, "
            "martenrouter.edge.log;"
            "print([m for m in sys.modules if m.split('.')[0] in ('lmdb', 'rjsonnet', 'wsproto', "
            "'matplotlib', 'hdrh', 'structlog', 'asyncio', 'ssl', 'hashlib')"
            " or m.startswith(('martenrouter.planner', 'martenrouter.state', "
            "'martenrouter.decisions.chain'))])"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)


if __name__ == "__main__":
    unittest.main()
