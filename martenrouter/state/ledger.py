"""The usage ledger: entries on an embedded store (LMDB), appended and synced in groups, never overwritten;
exported each once.

Keys: `e` + number (8 bytes) an entry with its checksum; `i` + identity its number; `o` + identity a
reservation that is open; `m…` what the ledger knows of itself; `b` + number an entry set aside by a repair. A
group is one transaction: after a crash it is there whole or not at all (LMDB writes pages anew and swaps the
root last), so a torn tail is a group that isn't there; checksums find what a disk has changed.

What a crash may lose: charges that were not synced, of which no client was told that its answer is done; see
`append`.
"""

import os
import zlib

import lmdb
import msgspec

FORMAT = 1
MAP_SIZE = 64 * 1024**3  # bytes of address space; the file holds only what is written
FILE_ENTRIES = 10_000  # entries an export file holds at the most


class Unusable(Exception):
    """The ledger can't be opened or written; the text says why and what to do."""


class Ledger:
    def __init__(self, path, front, read_only=False):
        self.path, self.front = path, front
        try:
            if not read_only:
                os.makedirs(path, exist_ok=True)
            self._read_only = read_only
            self._ended = False  # whether its environment was, and could not be opened anew yet
            self._open()
            with self._env.begin() as txn:
                told = txn.get(b"mformat")
            if told is None and not read_only:
                with self._env.begin(write=True) as txn:
                    txn.put(b"mformat", b"%d %s" % (FORMAT, front.encode()))
        except (lmdb.Error, OSError) as why:
            raise Unusable(
                "%s: can't be opened: %s; look at the disk and its permissions" % (path, why)
            ) from why
        if told is not None:
            number, _, name = told.decode().partition(" ")
            if int(number) != FORMAT:
                raise Unusable("%s: is of format %s, this program writes %d" % (path, number, FORMAT))
            if name != front:
                raise Unusable(
                    "%s: is the ledger of %s, not of %s; name another directory" % (path, name, front)
                )
        self.last = self._last()

    def _open(self):
        self._env = lmdb.open(self.path, map_size=MAP_SIZE, max_dbs=0, readonly=self._read_only)

    def _writing(self):
        """A write transaction. After a failed write of its root page LMDB refuses all others: that ends the
        environment, not the ledger, which is as it was before that group. Raises lmdb.Error, OSError."""
        if not self._ended:
            try:
                return self._env.begin(write=True)
            except lmdb.PanicError:
                self._ended = True
                self._env.close()
        self._open()
        self._ended = False
        return self._env.begin(write=True)

    def close(self):
        self._env.close()

    def sync(self):
        self._env.sync(True)

    # ---- writing ----

    def append(self, entries, opened=(), ended=()):
        """One group: entries, reservations that were opened [(identity, fields)] and those that ended
        (identities). All are on disk when it returns. An identity that is there already is passed over.
        Returns how many entries are new; raises Unusable when the disk is full or read-only, and then none of
        the group is there."""
        last, count = self.last, 0
        try:
            with self._writing() as txn:
                for entry in entries:
                    name = b"i" + entry["id"].encode()
                    if txn.get(name) is not None:
                        continue
                    last, count = last + 1, count + 1
                    txn.put(_number(b"e", last), _pack({**entry, "seq": last}), append=False)
                    txn.put(name, last.to_bytes(8, "big"))
                for identity, fields in opened:
                    txn.put(b"o" + identity.encode(), _pack(fields))
                for identity in ended:
                    txn.delete(b"o" + identity.encode())
                txn.put(b"mlast", last.to_bytes(8, "big"))
        except (lmdb.Error, OSError) as why:
            raise Unusable(
                "%s: not written: %s; free room or mend the disk, nothing that was told done is lost"
                % (self.path, why)
            ) from why
        self.last = last
        return count

    def resolve(self, make):
        """At a start: reservations that a crash left get their entry by rule, `make(identity, fields)`
        (decisions/booking.py). Returns their identities."""
        left = []
        with self._env.begin() as txn:
            for key, value in _under(txn, b"o"):
                left.append((key[1:].decode(), _unpack(value) or {}))
        if left:
            self.append(
                [make(identity, fields) for identity, fields in left],
                ended=[identity for identity, _ in left],
            )
        return [identity for identity, _ in left]

    def correct(self, identity, make):
        """Books a correction, `make(the entry or None, how many it has had)`; what was booked."""
        known, number = self.find(identity), 0
        while self.find("%s/c%d" % (identity, number + 1)) is not None:
            number += 1
        entry = make(known, number)
        self.append([entry])
        return entry

    def close_period(self, period, counts, make):
        """Books the close of a period, `make(totals by customer)`; the entry, or the one that is there
        already. `counts(entry)`: whether an entry of the period counts to its totals."""
        known = self.find("%s/close/%s" % (self.front, period))
        if known is not None:
            return known
        totals = {}
        for entry in self.entries(1):
            if entry["period"] == period and counts(entry):
                totals[entry["customer"]] = totals.get(entry["customer"], 0) + entry["units"]
        entry = make(totals)
        self.append([entry])
        return self.find(entry["id"])

    # ---- reading ----

    def _last(self):
        with self._env.begin() as txn:
            told = txn.get(b"mlast")
        return int.from_bytes(told, "big") if told else 0

    def find(self, identity):
        with self._env.begin() as txn:
            number = txn.get(b"i" + identity.encode())
            value = txn.get(b"e" + number) if number else None
        return _unpack(value) if value else None

    def entries(self, first, last=None):
        """Whole entries from number `first` on; those that are torn are passed over (`verify` names them)."""
        last = last or self.last
        with self._env.begin() as txn:
            cursor = txn.cursor()
            if not cursor.set_range(_number(b"e", first)):
                return
            for key, value in cursor:
                if not key.startswith(b"e") or int.from_bytes(key[1:], "big") > last:
                    return
                entry = _unpack(value)
                if entry is not None:
                    yield entry

    # ---- snapshots of counters: a start reads the newest and the entries after it ----

    def keep_counters(self, told, at=None):
        """`told`: decisions.budgets.Budgets.export, as of entry number `at` (the last one)."""
        data = _pack({"at": self.last if at is None else at, "told": told})
        try:
            with self._writing() as txn:
                before = txn.get(b"mcounters")
                if before is not None:
                    txn.put(b"mcounters-before", bytes(before))
                txn.put(b"mcounters", data)
        except (lmdb.Error, OSError) as why:
            raise Unusable("%s: counters not kept: %s" % (self.path, why)) from why

    def counters(self):
        """(number of the last entry they hold, told); (0, None) without a whole one."""
        with self._env.begin() as txn:
            for name in (b"mcounters", b"mcounters-before"):
                found = txn.get(name)
                told = _unpack(found) if found else None
                if told is not None and told["at"] <= self.last:
                    return told["at"], told["told"]
        return 0, None

    # ---- what is wrong, and its mend ----

    def verify(self):
        """(whole entries, numbers that are torn, numbers that are missing)."""
        whole, torn, seen = 0, [], 0
        missing = []
        with self._env.begin() as txn:
            for key, value in _under(txn, b"e"):
                number = int.from_bytes(key[1:], "big")
                if number != seen + 1 and seen:
                    missing.append((seen + 1, number - 1))
                seen = number
                if _unpack(value) is None:
                    torn.append(number)
                else:
                    whole += 1
            first = self._compacted(txn)
            if seen < self.last:
                missing.append((seen + 1, self.last))
        return whole, torn, [span for span in missing if span[1] > first]

    def repair(self):
        """Torn entries are set aside under another key, so that all else is whole; their numbers."""
        _, torn, _ = self.verify()
        with self._writing() as txn:
            for number in torn:
                txn.put(_number(b"b", number), bytes(txn.get(_number(b"e", number))))
                txn.delete(_number(b"e", number))
        return torn

    # ---- export ----

    def cursor(self):
        with self._env.begin() as txn:
            told = txn.get(b"mexported")
        return int.from_bytes(told, "big") if told else 0

    def export(self, directory, most=FILE_ENTRIES):
        """Entries that were not exported yet, into files `FRONT-FIRST-LAST.jsonl`, each renamed into place
        when it is whole and on disk; then the cursor moves. An export that was cut off in between finds its
        file by its first number and goes on after it. Returns the names of the files made; raises
        Unusable."""
        made = []
        try:
            os.makedirs(directory, exist_ok=True)
            while True:
                first = self.cursor() + 1
                found = _export_from(directory, self.front, first)
                if found is not None:
                    self._move_cursor(found[0])  # made before, and the cursor didn't move any more
                    continue
                last = min(self.last, first + most - 1)
                if last < first:
                    return made
                made.append(self._write_export(directory, first, last))
                self._move_cursor(last)
        except OSError as why:
            raise Unusable("%s: not exported: %s; the cursor stays where it was" % (directory, why)) from why

    def _write_export(self, directory, first, last):
        name = os.path.join(directory, "%s-%d-%d.jsonl" % (self.front, first, last))
        lines = [msgspec.json.encode({"ledger": FORMAT, "front": self.front, "first": first, "last": last})]
        lines += [msgspec.json.encode(entry) for entry in self.entries(first, last)]
        body = b"\n".join(lines) + b"\n"
        with open(name + ".part", "wb") as file:
            file.write(body + msgspec.json.encode({"end": len(lines) - 1, "crc": zlib.crc32(body)}) + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(name + ".part", name)
        folder = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        return name

    def _move_cursor(self, last):
        try:
            with self._writing() as txn:
                txn.put(b"mexported", last.to_bytes(8, "big"))
        except (lmdb.Error, OSError) as why:
            raise Unusable(
                "%s: the cursor didn't move: %s; exported again it gives the same files" % (self.path, why)
            ) from why

    # ---- compaction: what was exported and lies behind the counters' snapshot ----

    def _compacted(self, txn):
        told = txn.get(b"mcompacted")
        return int.from_bytes(told, "big") if told else 0

    def compact(self, keep, most=1000):
        """Removes up to `most` of the oldest entries that were exported, that the counters hold, and that are
        older than the last `keep`. Their identities stay, so that a repeat is still known. Returns how many;
        0 when there is nothing to do."""
        try:
            at, _ = self.counters()
            until = min(self.cursor(), at, self.last - keep)
            with self._env.begin() as txn:
                first = self._compacted(txn) + 1
            last = min(until, first + most - 1)
            if last < first:
                return 0
            with self._writing() as txn:
                for number in range(first, last + 1):
                    txn.delete(_number(b"e", number))
                txn.put(b"mcompacted", last.to_bytes(8, "big"))
        except (lmdb.Error, OSError) as why:
            raise Unusable("%s: not compacted: %s" % (self.path, why)) from why
        return last - first + 1


def _under(txn, prefix):
    """(key, value) of all keys that begin so, in order."""
    cursor = txn.cursor()
    if cursor.set_range(prefix):
        for key, value in cursor:
            if not key.startswith(prefix):
                return
            yield key, value


def _number(prefix, number):
    return prefix + number.to_bytes(8, "big")


def _pack(told):
    data = msgspec.msgpack.encode(told)
    return zlib.crc32(data).to_bytes(4, "big") + data


def _unpack(value):
    """None when it isn't whole."""
    data = value[4:]
    if len(value) < 5 or zlib.crc32(data) != int.from_bytes(value[:4], "big"):
        return None
    try:
        return msgspec.msgpack.decode(data)
    except msgspec.MsgspecError:
        return None


def _export_from(directory, front, first):
    """(last number, name) of a whole export file that begins with `first`; parts that were cut off are
    removed."""
    for name in sorted(os.listdir(directory)):
        path = os.path.join(directory, name)
        if name.startswith("%s-%d-" % (front, first)):
            if name.endswith(".part"):
                os.unlink(path)
            elif read_export(path)[4]:
                return int(name.rsplit("-", 1)[1].partition(".")[0]), path
            else:
                os.replace(path, path + ".torn")
    return None


def read_export(path):
    """(front, first, last, entries, whole) of an export file. Raises Unusable for one that is none."""
    with open(path, "rb") as file:
        data = file.read()
    lines = data.split(b"\n")
    try:
        head = msgspec.json.decode(lines[0])
        front, first, last = head["front"], head["first"], head["last"]
    except (msgspec.MsgspecError, KeyError, TypeError) as why:
        raise Unusable("%s: is no export of a ledger: %s" % (path, why)) from why
    try:
        end = msgspec.json.decode(lines[-2])
        body = data[: len(data) - len(lines[-2]) - 1]
        entries = [msgspec.json.decode(line) for line in lines[1:-2]]
        whole = lines[-1] == b"" and end["crc"] == zlib.crc32(body) and end["end"] == len(entries)
    except (msgspec.MsgspecError, KeyError, TypeError, IndexError):
        return front, first, last, [], False
    return front, first, last, entries if whole else [], whole
