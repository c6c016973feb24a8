"""Hashes that are alike at every process: of keys to servers, and of servers to places on a ring."""

try:
    from _blake2 import blake2b  # what hashlib gives, without the TLS library that it loads
except ImportError:
    from hashlib import blake2b

BITS = 64


def number(data, bits):
    """A number of so many bits (a multiple of 8), drawn by the bytes `data`."""
    return int.from_bytes(blake2b(data, digest_size=bits // 8).digest(), "big")


def draw(key, id):
    """The weight of the server `id` for the key, from 0 to 2**64; no crc, which is linear in the ids."""
    return number(("%s %s" % (key, id)).encode(), BITS)


def point(key):
    """Where a key or a server lies on the ring, from 0 to 2**64."""
    return draw("ring", key)
