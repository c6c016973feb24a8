"""The traffic record: a line of JSON for every message in and out at a process's sockets.

Each line has `t` (monotonic microseconds; one clock for all processes of a machine), `wall` (microseconds),
`who` (the process), `ev` (what it was) and the message's own fields. A line is one write to a file opened for
appending, so that a process killed with SIGKILL loses nothing it had recorded.
"""

import os
import time

import msgspec

_encode = msgspec.json.Encoder().encode


class Recorder:
    def __init__(self, directory, who):
        os.makedirs(directory, exist_ok=True)
        self.who = who
        path = os.path.join(directory, "%s.jsonl" % who)
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def __call__(self, ev, **fields):
        fields["t"], fields["wall"] = time.monotonic_ns() // 1000, time.time_ns() // 1000
        fields["who"], fields["ev"] = self.who, ev
        os.write(self._file, _encode(fields) + b"\n")


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
