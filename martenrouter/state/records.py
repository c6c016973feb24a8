"""The traffic record: a line of JSON for every message in and out at a process's sockets.

Each line has `t` (monotonic microseconds; one clock for all processes of a machine), `wall` (microseconds),
`who` (the process), `ev` (what it was) and the message's own fields. A line is one write to a file opened for
appending, so that a process killed with SIGKILL loses nothing it had recorded.
"""

import os
import time

import msgspec

BLOCK = 64 * 1024  # bytes read at a time in looking for the last line's end

_encode = msgspec.json.Encoder().encode


class Recorder:
    """A disk that fails costs lines of the record and nothing else; `lost` counts them."""

    def __init__(self, directory, who):
        os.makedirs(directory, exist_ok=True)
        self.who, self.lost = who, 0
        path = os.path.join(directory, "%s.jsonl" % who)
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        self._whole = _whole_lines(self._file)  # bytes up to the last line's end
        self._torn = True  # whether something may stand behind them

    def __call__(self, ev, **fields):
        fields["t"], fields["wall"] = time.monotonic_ns() // 1000, time.time_ns() // 1000
        fields["who"], fields["ev"] = self.who, ev
        line = _encode(fields) + b"\n"
        try:
            if self._torn:
                os.ftruncate(self._file, self._whole)
            self._torn = True
            written = os.write(self._file, line)
        except OSError:
            written = 0
        if written == len(line):
            self._torn = False
            self._whole += written
        else:
            self.lost += 1


def _whole_lines(file):
    """Bytes of the file up to the end of its last whole line; a kill may have cut off the one behind it."""
    size = os.fstat(file).st_size
    while size:
        begin = max(size - BLOCK, 0)
        end = os.pread(file, size - begin, begin).rfind(b"\n")
        if end >= 0:
            return begin + end + 1
        size = begin
    return 0


def nothing(ev, **fields):
    """A recorder that records nothing."""


def recorder(directory, who):
    return Recorder(directory, who) if directory else nothing


class BadRecord(Exception):
    """A line that is no record; names file and line."""


def read(directory):
    """All records of a directory in the order of their time. A last line cut off by a kill is passed over."""
    try:
        names = sorted(name for name in os.listdir(directory) if name.endswith(".jsonl"))
    except OSError as why:
        raise BadRecord("%s: can't be read: %s" % (directory, why.strerror)) from why
    if not names:
        raise BadRecord("%s: holds no records (*.jsonl)" % directory)
    records = []
    for name in names:
        path = os.path.join(directory, name)
        with open(path, "rb") as file:
            lines = file.read().split(b"\n")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                record = msgspec.json.decode(line)
                record["t"], record["who"], record["ev"]
            except (msgspec.MsgspecError, KeyError, TypeError) as why:
                if number == len(lines):
                    continue
                raise BadRecord("%s line %d: no record: %s" % (path, number, why)) from why
            records.append(record)
    records.sort(key=lambda record: record["t"])  # stable: a process's own order stays
    return records
