"""What a planner has learnt, kept on an embedded store (LMDB): a few newest ones, each versioned and
checksummed.

A snapshot is whole or it isn't used: what is torn, of another version or of another front is set aside under
a key of its own with a word why, and the next older one is tried. Writing never raises for a full disk or a
locked store: it says so.
"""

import os
import zlib

import lmdb
import msgspec

VERSION = 1
KEPT = 3
MAP_SIZE = 256 * 1024 * 1024  # bytes of address space; the file holds only what is written


class Snapshot(msgspec.Struct, array_like=True):
    version: int
    front: str
    wall: int  # microseconds
    crc: int
    learnt: bytes  # msgpack


class Unusable(Exception):
    """The store can't be opened; the text says why and what to do."""


class Snapshots:
    def __init__(self, path, front):
        self.front = front
        self._path, self._bad = path, []  # _bad: keys to be set aside with the next save
        self._ended = False  # whether its environment was, and could not be opened anew yet
        try:
            os.makedirs(path, exist_ok=True)
            self._open()
        except (lmdb.Error, OSError) as why:
            raise Unusable("%s: can't be opened: %s; remove it to begin anew" % (path, why)) from why

    def _open(self):
        self._env = lmdb.open(self._path, map_size=MAP_SIZE, max_dbs=0, lock=True)

    def close(self):
        self._env.close()

    def save(self, wall, learnt):
        """None, or why it was not saved. Waits while another program writes to the store: not to be called in
        a round. The order of snapshots is that of their saves, whatever `wall` says."""
        try:
            if not self._ended:
                try:
                    return self._save(wall, learnt)
                except lmdb.PanicError:
                    # a failed write of the root page ends this environment, not the store
                    self._ended = True
                    self._env.close()
            self._open()
            self._ended = False
            return self._save(wall, learnt)
        except (lmdb.Error, OSError) as why:
            return str(why)

    def _save(self, wall, learnt):
        data = msgspec.msgpack.encode(learnt)
        told = Snapshot(VERSION, self.front, wall, zlib.crc32(data), data)
        with self._env.begin(write=True) as txn:
            for key in self._bad:
                value = txn.get(key)
                if value is not None:
                    txn.put(key.replace(b"snap:", b"bad:"), bytes(value))
                    txn.delete(key)
            keys = [key for key, _ in txn.cursor().iternext(values=True) if key.startswith(b"snap:")]
            last = int(keys[-1].partition(b":")[2]) if keys else 0
            txn.put(b"snap:%020d" % max(wall, last + 1), msgspec.msgpack.encode(told))
            for key in keys[: -(KEPT - 1)]:
                txn.delete(key)
        self._bad = []

    def newest(self):
        """(wall, learnt, words about what is set aside); (0, None, …) without a whole one. Only reads, so
        that a store which another program holds locked doesn't keep a planner from deciding; what is set
        aside moves with the next save."""
        words = []
        try:
            with self._env.begin() as txn:
                found = [
                    (bytes(key), bytes(value)) for key, value in txn.cursor() if key.startswith(b"snap:")
                ]
        except (lmdb.Error, OSError) as why:
            return 0, None, ["nothing can be read: %s" % why]
        for key, value in reversed(found):
            if key in self._bad:
                continue
            why, told = None, None
            try:
                told = msgspec.msgpack.decode(value, type=Snapshot)
                if told.version != VERSION:
                    why = "of version %d, this program writes %d" % (told.version, VERSION)
                elif told.front != self.front:
                    why = "of front %s" % told.front
                elif zlib.crc32(told.learnt) != told.crc:
                    why = "torn: its checksum differs"
                else:
                    return told.wall, msgspec.msgpack.decode(told.learnt), words
            except msgspec.MsgspecError as problem:
                why = "no snapshot: %s" % problem
            words.append("%s set aside: %s" % (key.decode(), why))
            self._bad.append(key)
        return 0, None, words
