"""Hashes that are alike at every process: of keys to servers, and of servers to places on a ring."""

try:
    from _blake2 import blake2b  # what hashlib gives, without the TLS library that it loads
except ImportError:
    from hashlib import blake2b

BITS = 64
KEY_LIMIT = 64  # characters of a name that is remembered as it came
LONG_KEY_BITS = 128


def number(data, bits):
    """A number of so many bits (a multiple of 8), drawn by the bytes `data`."""
    return int.from_bytes(blake2b(data, digest_size=bits // 8).digest(), "big")


def key_of(name):
    """What a session or a prefix is remembered by: its name, or a hash of one that is long, as clients choose
    both; the same at every process."""
    if isinstance(name, str) and len(name) > KEY_LIMIT:
        return "%x" % number(name.encode("utf-8", "surrogatepass"), LONG_KEY_BITS)
    return name


def draw(key, id):
    """The weight of the server `id` for the key, from 0 to 2**64; no crc, which is linear in the ids."""
    return number(("%s %s" % (key, id)).encode(), BITS)


def point(key):
    """Where a key or a server lies on the ring, from 0 to 2**64."""
    return draw("ring", key)
