"""The last list of engines on disk: written beside and renamed, so that a kill leaves the old one or the new
one."""

import os


def save(path, data):
    """`data`: bytes, one encoded whole list. Raises OSError."""
    beside = "%s.%d" % (path, os.getpid())
    with open(beside, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


def load(path):
    """The bytes kept, None where there is no file. Raises OSError."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except FileNotFoundError:
        return None
