"""Runs kept on an embedded store (LMDB): each under what it was played with, so that a study that was cut off
goes on where it was and two studies share what they have in common.

A key is the digest of scenario, seed, policy, settings, the program's revision and the libraries' versions; a
run under the same key is the same to the byte, which is what makes it right to play it only once.
"""

import importlib.metadata
import os
import subprocess
import zlib

import lmdb
import msgspec
import xxhash

MAP_SIZE = 16 * 1024**3  # bytes of address space; the file holds only what is written
LIBRARIES = ("gevent", "msgspec", "xxhash")


class Unusable(Exception):
    """The store can't be opened or read; the text says why and what to do."""


class Kept(msgspec.Struct):
    scenario: str
    seed: int
    policy: str
    revision: str
    versions: dict
    figures: dict
    rules: dict = {}
    tries: bytes = b""  # zlib of msgpack: rows of emulator.world.Day


def revision(directory):
    """The program's git revision, with a digest of what differs from it; without git, of its files."""

    def git(*arguments):
        done = subprocess.run(["git", "-C", directory, *arguments], capture_output=True)
        return done.stdout if done.returncode == 0 else None

    head = git("rev-parse", "--short=12", "HEAD")
    if head is not None:
        differs = git("diff", "HEAD", "--", "martenrouter") or b""
        others = git("ls-files", "--others", "--exclude-standard", "--", "martenrouter") or b""
        for name in others.decode().splitlines():
            with open(os.path.join(directory, name), "rb") as file:
                differs += name.encode() + file.read()
        return head.decode().strip() + ("+" + xxhash.xxh64_hexdigest(differs)[:8] if differs else "")
    running = xxhash.xxh64()
    for folder, folders, files in os.walk(os.path.join(directory, "martenrouter")):
        folders.sort()
        for name in sorted(files):
            if name.endswith((".py", ".jsonnet")):
                with open(os.path.join(folder, name), "rb") as file:
                    running.update(name.encode() + file.read())
    return "files-" + running.hexdigest()[:12]


def versions():
    return {name: importlib.metadata.version(name) for name in LIBRARIES}


def key(scenario, seed, policy, revision, versions):
    """`scenario`: lab.scenario.Scenario, with its settings."""
    told = [msgspec.to_builtins(scenario), seed, policy, revision, sorted(versions.items())]
    return xxhash.xxh3_128_digest(msgspec.json.encode(told, order="deterministic"))


class Results:
    def __init__(self, path):
        try:
            os.makedirs(path, exist_ok=True)
            self._env = lmdb.open(path, map_size=MAP_SIZE)
        except (lmdb.Error, OSError) as why:
            raise Unusable("%s: can't be opened: %s; name another directory" % (path, why)) from why

    def close(self):
        self._env.close()

    def get(self, key):
        with self._env.begin() as txn:
            value = txn.get(key)
        if value is None:
            return None
        crc, data = value[:4], value[4:]
        if zlib.crc32(data).to_bytes(4, "big") != crc:
            return None  # torn: played again
        return msgspec.msgpack.decode(data, type=Kept)

    def put(self, key, kept):
        """Raises Unusable when the disk is full."""
        data = msgspec.msgpack.encode(kept)
        try:
            with self._env.begin(write=True) as txn:
                txn.put(key, zlib.crc32(data).to_bytes(4, "big") + data)
        except lmdb.Error as why:
            raise Unusable("not kept: %s; free some room, the study goes on where it was" % why) from why

    def all(self):
        with self._env.begin() as txn:
            for _, value in txn.cursor():
                yield msgspec.msgpack.decode(value[4:], type=Kept)


def pack(tries):
    return zlib.compress(msgspec.msgpack.encode(tries), 1)


def unpack(data):
    return msgspec.msgpack.decode(zlib.decompress(data))
