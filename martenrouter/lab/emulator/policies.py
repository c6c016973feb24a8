"""Decisions that can be played: as built, and baselines. A baseline is the same chain and module with one
choice replaced, so that the rules are kept alike and only that choice is compared; none of them is offered to
a running front.
"""

import random
from zlib import crc32

from martenrouter.decisions.chain import Chain


def as_built(seed, module, settings):
    """The module as it is: credit by link, writer picked after the read, hashed prefix homes."""
    return Chain(seed, module, settings)


def _replaced(seed, module, settings, **methods):
    """A chain whose module has choices of its own. `methods`: name -> function(front, …)."""
    chain = Chain(seed, module, settings)
    front = chain.front
    front.lab_random = random.Random("%s baseline" % seed)
    front.lab_turn = 0
    front.__class__ = type("Baseline", (type(front),), methods)
    return chain


def _reader(pick):
    def pick_reader(front, r):
        engines, strains = front.usable(True, r)
        pace = front.pace["read"]
        if not engines:
            return None, pace.expect(front.now, r.prompt), 0
        engine = pick(front, sorted(engines, key=lambda e: e.id), front.pending, r)
        return (
            engine,
            pace.expect(front.now, front.cost(engine, r)),
            pace.expect(front.now, front.pending(engine) + front.cost(engine, r)),
        )

    return pick_reader


def _writer(pick):
    def pick_writer(front, r, able, strains):
        if not able:
            return None
        return pick(front, sorted(able, key=lambda e: e.id), lambda e: e.streams, r)

    return pick_writer


def _random(front, engines, load, r):
    return front.lab_random.choice(engines)


def _turns(front, engines, load, r):
    front.lab_turn += 1
    return engines[front.lab_turn % len(engines)]


def _least(front, engines, load, r):
    low = min(map(load, engines))
    return front.lab_random.choice([engine for engine in engines if load(engine) == low])


def _two(front, engines, load, r):
    some = front.lab_random.sample(engines, min(2, len(engines)))
    return min(some, key=load)


def _hash(front, engines, load, r):
    return max(engines, key=lambda e: (crc32(("%s %s" % (r.home, e.id)).encode()), e.id))


def _both(pick):
    return {"pick_reader": _reader(pick), "pick_writer": _writer(pick)}


def random_choice(seed, module, settings):
    """Readers and writers drawn at random of those that are well."""
    return _replaced(seed, module, settings, **_both(_random))


def round_robin(seed, module, settings):
    """Readers and writers in turn."""
    return _replaced(seed, module, settings, **_both(_turns))


def least_pending(seed, module, settings):
    """The engine with the least of this front's own work."""
    return _replaced(seed, module, settings, **_both(_least))


def two_choices(seed, module, settings):
    """The less loaded of two drawn at random."""
    return _replaced(seed, module, settings, **_both(_two))


def prefix_hash(seed, module, settings):
    """Readers by the hash of the prefix alone, whatever waits there; writers as built."""
    return _replaced(seed, module, settings, pick_reader=_reader(_hash))


def no_credit(seed, module, settings):
    """States move as soon as they are read; the writer is drawn without regard to room or links."""
    return _replaced(
        seed,
        module,
        settings,
        has_credit=lambda front, r, link: True,
        room=lambda front, engine: float("inf"),
        pick_writer=_writer(_random),
    )


def unlimited_window(seed, module, settings):
    """As built, with links that take any amount at once."""
    return _replaced(seed, module, settings, has_credit=lambda front, r, link: True)


POLICIES = {
    "as-built": as_built,
    "random": random_choice,
    "round-robin": round_robin,
    "least-pending": least_pending,
    "two-choices": two_choices,
    "prefix-hash": prefix_hash,
    "no-credit": no_credit,
    "unlimited-window": unlimited_window,
}
