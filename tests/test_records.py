"""The traffic record on a disk that fails for a while."""

import errno
import os
import tempfile
import unittest
from unittest import mock

from martenrouter.state import records


class FailingDisk(unittest.TestCase):
    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.dir = holder.name
        self.record = records.Recorder(self.dir, "edge")

    def read(self):
        return [told["ev"] for told in records.read(self.dir)]

    def test_a_full_disk_or_a_cut_line_costs_lines_and_nothing_else(self):
        write = os.write
        self.record("first")
        for number in (errno.ENOSPC, errno.EIO):
            with mock.patch.object(os, "write", side_effect=OSError(number, os.strerror(number))):
                self.record("lost")
        with mock.patch.object(os, "write", lambda file, data: write(file, data[: len(data) // 2])):
            self.record("cut off")
        with mock.patch.object(os, "write", side_effect=OSError(errno.ENOSPC, "full")):
            self.record("lost")
        self.record("last")
        self.assertEqual(self.read(), ["first", "last"])
        self.assertEqual(self.record.lost, 4)
        with open(os.path.join(self.dir, "edge.jsonl"), "ab") as file:
            file.write(b'{"t":1,"wh')  # a kill in mid-write
        records.Recorder(self.dir, "edge")("next process")
        self.assertEqual(self.read(), ["first", "last", "next process"])
