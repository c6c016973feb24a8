"""Answers that their servers write slowly are passed on whole; those that stand still are ended in time."""

import time
import unittest

import gevent

from martenrouter.wire import http
from tests.sockets.node_rig import EVENTS, HEAD, SETTINGS, Engine, Rig

SLOWLY = 5.0  # seconds for one event, over any bound on one that stands still
LET_OFF = 5.0  # seconds from a stream's spoiling to its client's end, by the page
STEPS = 50


def drip(sock, data, seconds=SLOWLY):
    size = -(-len(data) // STEPS)
    for at in range(0, len(data), size):
        sock.sendall(data[at : at + size])
        gevent.sleep(seconds / STEPS)


def within_an_event(sock):
    drip(sock, http.chunk(EVENTS[1]))


def within_an_event_of_many_chunks(sock):
    drip(sock, b"".join(http.chunk(EVENTS[1][at : at + 1]) for at in range(len(EVENTS[1]))))


def within_a_chunk_of_many_events(sock):
    drip(sock, http.chunk(b": more\r\n\r\n" * 20 + EVENTS[1]))


def within_a_chunk_head(sock):
    drip(sock, b"%x;%s\r\n" % (len(EVENTS[1]), b"x" * 60))
    sock.sendall(EVENTS[1] + b"\r\n")


def between_events(sock):
    for _ in range(3):
        sock.sendall(http.chunk(b": more\n\n"))
        gevent.sleep(SLOWLY / 2)
    sock.sendall(http.chunk(EVENTS[1]))


SLOW = (
    within_an_event,
    within_an_event_of_many_chunks,
    within_a_chunk_of_many_events,
    within_a_chunk_head,
    between_events,
)


def huge_chunk_that_keeps_coming(sock):
    sock.sendall(b"c0000000\r\n")
    while True:
        sock.sendall(b"data: x")
        gevent.sleep(0.1)


def chunk_that_swallows_those_behind_it(sock):
    sock.sendall(b"%x\r\n%s\r\n" % (20_000, EVENTS[1]))
    while True:
        sock.sendall(http.chunk(EVENTS[1]))
        gevent.sleep(0.1)


def half_an_event(sock):
    sock.sendall(http.chunk(EVENTS[1][:20]))


def half_a_chunk(sock):
    sock.sendall(http.chunk(EVENTS[1])[:20])


SPOILT = huge_chunk_that_keeps_coming, chunk_that_swallows_those_behind_it, half_an_event, half_a_chunk


class SlowAnswers(unittest.TestCase):
    def play(self, write):
        """(seconds, (status, headers, body), whether its end came) of an answer whose second event is written
        by `write`."""

        def answer(server, sock, call, nth):
            sock.sendall(HEAD + http.chunk(EVENTS[0]))
            write(sock)
            sock.sendall(b"".join(map(http.chunk, EVENTS[2:])) + http.chunk(b""))

        def stand_still(server, sock, call, nth):
            sock.sendall(HEAD + http.chunk(EVENTS[0]))
            write(sock)
            gevent.sleep(10)

        rig = Rig(
            Engine("r", "prefill"), Engine("w", "decode", script=answer if write in SLOW else stand_still)
        )
        self.addCleanup(rig.close)
        client = rig.client()
        client.sock.settimeout(12)
        begun = time.monotonic()
        answer = client.ask().answer()
        return time.monotonic() - begun, answer, client.last

    def all(self, writes):
        jobs = [(write, gevent.spawn(self.play, write)) for write in writes]
        gevent.joinall([job for _, job in jobs], raise_error=True)
        return [(write, *job.value) for write, job in jobs]

    # Picture (d): half an event that was 3 s old was spoilt, though its bytes still came.
    def test_an_answer_that_is_written_slowly_is_passed_on_whole(self):
        for write, took, (status, _, body), whole in self.all(SLOW):
            with self.subTest(write.__name__, took="%.2f" % took):
                self.assertEqual((status, whole), (200, True))
                told = [line for line in body.splitlines() if line.startswith(b"data:")]
                self.assertEqual(told, [event.strip() for event in EVENTS])

    # Picture (d), related: what moves is not spoilt for long, but what is spoilt may move.
    def test_the_client_of_a_spoilt_answer_is_let_off_in_time(self):
        for write, took, (status, _, body), whole in self.all(SPOILT):
            with self.subTest(write.__name__, took="%.2f" % took):
                self.assertEqual((status, whole, body), (200, False, EVENTS[0]))
                self.assertLess(took, LET_OFF)


class SlowReads(unittest.TestCase):
    """A state is held from the first byte of its read's answer on, whenever the last one comes."""

    HELD_WITHIN = 0.6  # seconds: 0.3 by the settings and 0.3 that sockets have more
    ANSWER = http.response(202, (), b'{"cached_tokens":4}')

    def held(self, rest_after, effect):
        """(status, seconds for which the read's state was held): half of the read's answer comes at once and
        the rest, from byte `rest_after` on, over a second."""
        held_since, ended = [], []

        def read(server, sock, call, nth):
            held_since.append(time.monotonic())
            sock.sendall(self.ANSWER[:rest_after])
            drip(sock, self.ANSWER[rest_after:], 1.0)

        def decode(server, sock, call, nth):
            ended.append(time.monotonic())
            server.answer(sock, call)

        rig = Rig(
            Engine("r", "prefill", script=read),
            Engine("w", "decode", script=decode),
            grades=[{"name": "chat", "goal-time-us": 1_000_000, "effect": effect}],
            **{"policy-limits": {**SETTINGS["policy-limits"], "attempts-cap": 2}},
        )
        self.addCleanup(rig.close)
        release = rig.engines["r"].released
        client = rig.client().ask(x_timeout_ms="2500")
        rig.until(lambda: ended or release)
        held = time.monotonic() - held_since[0]
        return client.answer()[0], held

    # Picture (d), related: a read's answer that came slowly was no read before its last byte.
    def test_a_state_is_not_held_for_an_answer_that_is_half_heard(self):
        head = self.ANSWER.index(b"\r\n\r\n") + 4
        for rest_after, status in ((head, 200), (head + 3, 200), (20, 503)):
            for effect in ("free", "single_shot"):
                with self.subTest(rest_after=rest_after, effect=effect):
                    answered, held = self.held(rest_after, effect)
                    self.assertLess(held, self.HELD_WITHIN)
                    self.assertEqual(answered, status)


class HangInMidEvent(unittest.TestCase):
    HANG = 3.6  # seconds, within the 5 s that a client may wait after the last event

    # Review 7: the stream was cut 3 s into the hang.
    def test_a_stream_goes_on_after_a_hang_in_mid_event(self):
        def hang(engine, sock, call, nth):
            half = len(EVENTS[1]) // 2
            sock.sendall(HEAD + http.chunk(EVENTS[0]) + http.chunk(EVENTS[1][:half]))
            gevent.sleep(self.HANG)
            rest = [EVENTS[1][half:], *EVENTS[2:]]
            sock.sendall(b"".join(map(http.chunk, rest)) + http.chunk(b""))

        rig = Rig(Engine("r", "prefill"), Engine("w", "decode", script=hang))
        self.addCleanup(rig.close)
        client = rig.client()
        status, _, body = client.ask().answer()
        self.assertEqual((status, client.last, body), (200, True, b"".join(EVENTS)))
