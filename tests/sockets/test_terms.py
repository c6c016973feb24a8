"""Terms of the standing test on sockets: events pass on one by one, whoever else is slow; nothing begins for
a client that left."""

import unittest

import gevent
from gevent.event import Event

from martenrouter.wire import http
from tests.sockets.node_rig import EVENTS, HEAD, Engine
from tests.sockets.test_node import Case, hang


class Locked:
    """A writer's script: each event is written only after the one before it has reached its client. `times`:
    repeats of EVENTS[0];
    `alone`: ids of reqs that are written without waiting."""

    def __init__(self, times, size=1, alone=()):
        self.times, self.alone, self.heard = times, alone, {}
        self.event = EVENTS[0].replace(b'"a"', b'"%s"' % (b"a" * size))

    def __call__(self, engine, sock, call, nth):
        sock.sendall(HEAD)
        for n in range(self.times):
            sock.sendall(http.chunk(self.event))
            if call["id"] not in self.alone and not self.turn(call["id"], n).wait(5):
                raise OSError("event %d has not come to its client" % n)
        sock.sendall(b"".join(map(http.chunk, EVENTS[1:])) + http.chunk(b""))

    def turn(self, id, n):
        return self.heard.setdefault((id, n), Event())

    def follow(self, client, id):
        """Reads a client's stream, saying of each event that it came; returns whether its end did."""
        data, n = b"", 0
        while not data.endswith(b"0\r\n\r\n"):
            more = client.sock.recv(65536)
            if not more:
                return False
            data += more
            while n < self.times and data.count(self.event) > n:
                self.turn(id, n).set()
                n += 1
        return True


class EventsPassOn(Case):
    def follow_all(self, script, ids, before=()):
        rig = self.pair(write=script)
        for id in before:
            rig.client().ask(id, x_route_key=id)  # reads nothing
        if before:
            rig.until(lambda: len(rig.engines["w"].calls) == len(before))
        clients = [rig.client().ask(id, x_route_key=id) for id in ids]
        jobs = [gevent.spawn(script.follow, client, id) for client, id in zip(clients, ids)]
        gevent.joinall(jobs)
        self.assertEqual([job.value for job in jobs], [True] * len(ids))

    def test_each_of_many_streams_gets_each_event_before_the_next(self):
        self.follow_all(Locked(6), ["%016x" % n for n in range(40)])

    def test_large_events_are_passed_on_whole_before_the_next(self):
        self.follow_all(Locked(3, size=60_000), ["%016x" % n for n in range(4)])

    def test_a_client_that_reads_nothing_holds_nobody_up(self):
        slow = ["f%015x" % n for n in range(3)]
        self.follow_all(Locked(3, size=60_000, alone=slow), ["%016x" % n for n in range(6)], before=slow)


class ClientsThatWait(Case):
    def test_what_waits_for_its_first_forward_when_its_client_leaves_is_never_sent(self):
        """Readers behind: reqs are held unread; half of their clients leave, and then the readers go on."""
        go = Event()

        def read(engine, sock, call, nth):
            go.wait(5)
            engine.answer(sock, call)

        rig = self.rig(Engine("r", "prefill", script=read), Engine("w", "decode"))
        clients = {
            "%016x" % n: rig.client().ask(
                "%016x" % n,
                x_route_key="k%d" % n,
                x_timeout_ms="4000",
                x_attrs="prompt_len=9000,prefix_len=0,max_out=50",
            )
            for n in range(12)
        }
        rig.until(lambda: len(rig.node.reqs) + rig.node.counters["over_pushed_back"] == 12)
        gevent.sleep(0.05)
        sent = {call["id"] for call in rig.engines["r"].calls}
        waiting = [id for id, r in rig.node.reqs.items() if id not in sent and r.over is None]
        self.assertTrue(waiting)
        for id in waiting:
            clients[id].close()
        rig.until(lambda: not any(id in rig.node.reqs for id in waiting))
        go.set()
        self.settled(rig)
        self.assertEqual({call["id"] for call in rig.engines["r"].calls} & set(waiting), set())

    def test_forwards_of_a_client_that_left_end(self):
        rig = self.pair(write=hang)
        client = rig.client().ask(x_timeout_ms="60000")
        rig.until(lambda: rig.engines["w"].calls)
        client.close()
        rig.until(lambda: not rig.engines["w"].socks)
        self.settled(rig)


if __name__ == "__main__":
    unittest.main()
