"""System calls of a front node that fail for a moment, as Linux documents them: nothing taken is lost."""

import contextlib
import errno
import os
import socket
import time
import unittest
from unittest import mock

import gevent
import structlog
from gevent import socket as gevent_socket

from martenrouter.node.life import Node
from tests.sockets.node_rig import SETTINGS, Engine, FixedMemory, Rig


def failing(call, errors):
    """`call`, but the first calls fail, with one of `errors` each; None lets a call through."""
    left = list(errors)

    def wrapped(*arguments, **named):
        number = left.pop(0) if left else None
        if number is not None:
            raise OSError(number, os.strerror(number))
        return call(*arguments, **named)

    return wrapped


class FailingListener:
    """A listening socket whose next calls to accept fail, with one of `errors` each."""

    def __init__(self, sock, errors):
        self.sock = sock
        self._accept = failing(sock._accept, errors)

    def __getattr__(self, name):
        return getattr(self.sock, name)


@contextlib.contextmanager
def failing_connects(rig, number):
    """Connects to servers fail while this lasts."""
    addresses = {("127.0.0.1", engine.server.address[1]) for engine in rig.engines.values()}

    def wrapped(call, gives_number):
        def connect(sock, address):
            if tuple(address[:2]) not in addresses:
                return call(sock, address)
            if gives_number:
                return number
            raise OSError(number, os.strerror(number))

        return connect

    with contextlib.ExitStack() as patches:
        for kind, name in (
            (gevent_socket.socket, "connect"),
            (gevent_socket.socket, "connect_ex"),
            (socket.socket, "connect"),
            (socket.socket, "connect_ex"),
        ):
            call = wrapped(getattr(kind, name), name == "connect_ex")
            patches.enter_context(mock.patch.object(kind, name, call))
        yield


class Case(unittest.TestCase):
    def pair(self, **settings):
        rig = Rig(Engine("r", "prefill"), Engine("w", "decode"), **settings)
        self.addCleanup(rig.close)
        return rig


class Accepting(Case):
    def waiting_clients(self, rig, count):
        """Clients whose requests wait in the accept queue, as the loop is held while they come."""
        clients = [rig.client() for _ in range(count)]
        for n, client in enumerate(clients):
            client.ask("%016x" % n)
        return clients

    def hold_accepts(self, rig, errors):
        """Accepting stops, and goes on with calls that fail first with `errors`."""
        server = rig.node.door.server
        server.stop_accepting()
        server.socket = FailingListener(server.socket, errors)
        return server

    def test_a_stop_takes_all_that_wait_to_be_accepted_whatever_calls_fail(self):
        rig = self.pair()
        errors = (errno.ECONNABORTED, None, errno.ENFILE, errno.ENOBUFS, None, errno.EPROTO, errno.ENETDOWN)
        self.hold_accepts(rig, errors)
        clients = self.waiting_clients(rig, 40)
        gevent.spawn(rig.node.door.stop_listening)
        self.assertEqual([client.answer()[0] for client in clients], [200] * 40)

    def test_a_stop_does_not_end_while_some_wait_that_can_not_be_taken_yet(self):
        rig = self.pair(**{"family-info": {**SETTINGS["family-info"], "resume": False}})
        short = [True]
        server = rig.node.door.server
        accept = server.socket._accept

        def fails_for_a_while():
            if short:
                raise OSError(errno.ENFILE, os.strerror(errno.ENFILE))
            return accept()

        server.socket = FailingListener(server.socket, [])
        server.socket._accept = fails_for_a_while
        rig.until(lambda: server._watcher is not None)
        client = rig.client().ask()
        stop = gevent.spawn(rig.node.stop)
        gevent.sleep(1.5)
        self.assertFalse(stop.ready())
        short.clear()
        self.assertEqual(client.answer()[0], 200)
        stop.get(timeout=3)

    def test_accepting_goes_on_at_once_after_calls_that_fail(self):
        rig = self.pair()
        errors = (
            errno.ECONNABORTED,
            errno.EMFILE,
            errno.ENOBUFS,
            errno.EPROTO,
            errno.ENOMEM,
            errno.EINTR,
        ) * 2
        server = self.hold_accepts(rig, errors)
        clients = self.waiting_clients(rig, 3)
        begun = time.monotonic()
        server.start_accepting()
        self.assertEqual([client.answer()[0] for client in clients], [200] * 3)
        self.assertLess(time.monotonic() - begun, 0.5)


class OpenConnections(Case):
    """The node's open connections are plain sockets, the others of the process gevent's."""

    @staticmethod
    def failing_each(call, nth, number):
        count = [0]

        def wrapped(*arguments):
            count[0] += 1
            if count[0] % nth == 0:
                raise OSError(number, os.strerror(number))
            return call(*arguments)

        return wrapped

    def test_calls_that_fail_for_a_moment_cost_no_answer_and_no_attempt(self):
        for name, numbers in (
            ("send", (errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)),
            ("recv", (errno.ENOMEM, errno.ENOBUFS, errno.EAGAIN, errno.EINTR)),
        ):
            for number in numbers:
                with self.subTest(call=name, error=errno.errorcode[number]):
                    rig = self.pair()
                    body = rig.ask("f" * 16)[2]
                    with mock.patch.object(
                        socket.socket, name, self.failing_each(getattr(socket.socket, name), 3, number)
                    ):
                        answers = [rig.ask("%016x" % n) for n in range(10)]
                    self.assertEqual([answer[0] for answer in answers], [200] * 10)
                    self.assertEqual({answer[2] for answer in answers}, {body})
                    self.assertEqual([len(rig.engines[id].calls) for id in "rw"], [11, 11])
                    rig.close()


class Connecting(Case):
    LOCAL = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN, errno.EINTR, errno.ENOMEM)

    def test_trouble_of_this_machine_that_passes_costs_no_attempt(self):
        for number in self.LOCAL:
            with self.subTest(error=errno.errorcode[number]):
                rig = self.pair()
                with failing_connects(rig, number):
                    client = rig.client().ask()
                    gevent.sleep(0.1)
                self.assertEqual(client.answer()[0], 200)
                self.assertEqual(rig.node.counters["ended_unreachable"], 0)
                rig.close()

    def test_no_server_is_judged_by_trouble_of_this_machine(self):
        for number in self.LOCAL:
            with self.subTest(error=errno.errorcode[number]):
                rig = self.pair()
                with failing_connects(rig, number):
                    self.assertEqual(rig.ask()[0], 503)
                self.assertEqual([rig.node.desk.front.engines[id].failed for id in "rw"], [0, 0])
                self.assertEqual(rig.ask("b" * 16)[0], 200)
                rig.close()


class Starting(Case):
    def test_a_configuration_that_cannot_be_read_for_a_moment_is_read_a_moment_later(self):
        for number in (errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM):
            with self.subTest(error=errno.errorcode[number]):
                call = failing(open, [number] * 3)
                with mock.patch("martenrouter.node.life.open", call, create=True):
                    rig = self.pair()
                self.assertEqual(rig.ask()[0], 200)
                rig.close()

    # Soak seed 1107: a process was killed while its configuration was being written, and the next one ended.
    def test_a_configuration_that_is_being_written_at_the_start_is_read_when_it_is_whole(self):
        rig = self.pair()
        with open(rig.path) as file:
            whole = file.read()
        rig.write(None, whole[: len(whole) * 6 // 10])
        gevent.spawn_later(0.5, rig.write, None, whole)
        node = Node(rig.path, structlog.get_logger(), FixedMemory())
        self.assertEqual(node.name, "n0")
