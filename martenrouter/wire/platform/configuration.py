"""The configuration that a front node is started with: one JSON file, named by $EDGE_CONFIG."""

import msgspec

from martenrouter.wire.platform import members


class Unreadable(Exception):
    """The configuration can't be used: says what, where and the mend."""


class CutOff(Unreadable):
    """The file ends in mid-object: it may just be written."""


class Limits(msgspec.Struct):
    sockets: int = 256  # descriptors: the fewest that the platform gives on days that count
    memory_mb: float = 192
    cores: float = 1.0


class Configuration(msgspec.Struct):
    """`seed`: any text; `settings`: for settings.told; `known`: the list of engines as last had, maybe
    old."""

    name: str
    listen: str
    discovery: str
    settings: dict
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b'{"revision":0,"complete":true,"members":[]}')


_decoder = msgspec.json.Decoder(Configuration)


def configuration(data):
    """(Configuration, members.Told of what was known). `data`: the file's bytes. Raises Unreadable."""
    try:
        told = _decoder.decode(data)
        known = members.told(bytes(told.known))
    except msgspec.MsgspecError as why:
        unusable = CutOff if "truncated" in str(why) else Unreadable
        raise unusable(
            "the configuration is unusable: %s; mend that place, or have the platform write it anew" % why
        )
    except members.BadLine as why:
        raise Unreadable("the configuration is unusable: %s - at `$.known`; mend that place" % why)
    if told.limits.sockets < 64:
        raise Unreadable(
            "the configuration is unusable: %d descriptors - at `$.limits.sockets`; at least 64 are needed"
            % told.limits.sockets
        )
    address(told.listen, "$.listen")
    address(told.discovery, "$.discovery")
    return told, known


def address(text, where):
    """(host, port) of "host:port"; raises Unreadable."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise Unreadable("not an address: %r - at `%s`; write host:port" % (text[:60], where))
    return host, int(port)
