"""The list's subscriber against the stand-in service: breaks, gaps, older copies, restarts from disk."""

import collections
import json
import os
import tempfile
import unittest

import gevent
import structlog
from gevent.server import StreamServer

from martenrouter.edge.roster import Roster
from martenrouter.settings.front import ListSource
from martenrouter.standins.list_service import ListService
from martenrouter.wire.nodes import Entry


def entry(id, phase="up"):
    return Entry(id, phase, "rd", "z", 0, "127.0.0.1:9")


class Following(unittest.TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.dir = tempfile.TemporaryDirectory()
        self.addCleanup(self.dir.cleanup)
        self.keep = os.path.join(self.dir.name, "last")

    def service(self, listen=("127.0.0.1", 0), **more):
        service = ListService(listen, epoch=more.pop("epoch", 5), **more)
        service.start()
        self.addCleanup(service.server.stop)
        return service

    def roster(self, address, **more):
        posts = []
        roster = Roster(
            "f",
            ListSource(service=address, keep=self.keep, **more),
            1,
            lambda *call: posts.append(call),
            lambda changed: None,
            collections.Counter(),
            lambda *a, **b: None,
            structlog.get_logger(),
        )
        roster.start()
        self.addCleanup(roster.drop)
        return roster, posts

    def until(self, true, within=5):
        with gevent.Timeout(within, AssertionError("did not come about")):
            while not true():
                gevent.sleep(0.005)

    def phases(self, roster):
        return {id: entry.phase for id, entry in roster.members.entries.items()}

    def test_changes_come_and_a_restarted_service_is_found_again(self):
        service = self.service()
        service.set([entry("a"), entry("b")])
        roster, _ = self.roster(service.server.address)
        self.until(lambda: self.phases(roster) == {"a": "up", "b": "up"})
        service.set([entry("a", "draining")])
        self.until(lambda: self.phases(roster)["a"] == "draining")
        address = service.server.address
        service.server.stop()
        roster.drop()  # the service's end breaks the connection
        roster.members.broken(0, "stopped", roster)
        again = self.service(listen=address, epoch=6)
        again.set([entry("c")])
        self.until(lambda: self.phases(roster) == {"c": "up"}, 10)

    def test_an_older_copy_does_not_raise_what_drains(self):
        service = self.service()
        service.set([entry("a")])
        service.set([entry("a", "draining")])
        roster, _ = self.roster(service.server.address)
        self.until(lambda: self.phases(roster) == {"a": "draining"})
        service.listing.log.pop()
        service.listing.version = 1
        service._wake()
        gevent.sleep(1.3)
        self.assertEqual(self.phases(roster), {"a": "draining"})

    def test_a_restart_begins_with_the_last_list(self):
        service = self.service()
        service.set([entry("a"), entry("b", "draining")])
        first, _ = self.roster(service.server.address)
        self.until(lambda: os.path.exists(self.keep))
        service.server.stop()
        second, posts = self.roster(service.server.address)
        self.assertEqual(
            (posts[0][2], {row[3]: row[0] for row in posts[0][3]}), ("first", {"a": "up", "b": "draining"})
        )
        with open(self.keep, "w") as file:
            file.write('{"scope": "whole", "epo')
        third, posts = self.roster(service.server.address)
        self.assertEqual(posts[0], ("listed", 0, "first", []))

    def test_a_gap_is_noticed_and_the_whole_list_asked_for(self):
        asks = []

        def serve(sock, _):
            asks.append(json.loads(sock.recv(4096)))
            if len(asks) == 1:
                for scope, version, after, id in (("whole", 1, 0, "a"), ("changes", 4, 3, "x")):
                    sock.sendall(
                        json.dumps(
                            {
                                "scope": scope,
                                "epoch": 5,
                                "version": version,
                                "after": after,
                                "entries": [{"id": id, "phase": "up", "address": "h:1"}],
                            }
                        ).encode()
                        + b"\n"
                    )
            else:
                sock.sendall(
                    b'{"scope":"whole","epoch":5,"version":4,"entries":[{"id":"b","phase":"up","address":"h:1"}]}\n'
                )
            gevent.sleep(60)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        roster, _ = self.roster(server.address)
        self.until(lambda: self.phases(roster) == {"b": "up"})
        self.assertEqual([ask["version"] for ask in asks], [-1, -1])

    def test_bytes_that_are_no_list_are_a_break(self):
        said = []

        def serve(sock, _):
            said.append(1)
            sock.sendall(
                b"\xff\xfe not a list\n"
                if len(said) < 3
                else b'{"scope":"whole","epoch":1,"version":1,"entries":[{"id":"a","phase":"up",'
                b'"address":"h:1"}]}\n'
            )
            gevent.sleep(60)

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        roster, _ = self.roster(server.address)
        self.until(lambda: self.phases(roster) == {"a": "up"})
        self.assertEqual(roster.counters["list_broken"], 2)

    def test_a_list_file_is_followed_and_a_bad_one_leaves_the_old(self):
        path = os.path.join(self.dir.name, "list.json")

        def write(text):
            with open(path + ".new", "w") as file:
                file.write(text)
            os.replace(path + ".new", path)

        told = {
            "scope": "whole",
            "epoch": 1,
            "version": 1,
            "entries": [{"id": "a", "phase": "up", "address": "h:1"}],
        }
        write(json.dumps(told))
        roster, _ = self.roster(None, file=path)
        self.until(lambda: self.phases(roster) == {"a": "up"})
        write("{")
        self.until(lambda: roster.counters["list_file_unusable"] == 1)
        self.assertEqual(self.phases(roster), {"a": "up"})
        told["version"], told["entries"][0]["phase"] = 2, "draining"
        write(json.dumps(told))
        self.until(lambda: self.phases(roster) == {"a": "draining"})


if __name__ == "__main__":
    unittest.main()
