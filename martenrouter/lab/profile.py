"""What a load run is asked to do: phases of rates, mixes of reqs. Jsonnet files, checked; times in seconds
unless named."""

import typing

import msgspec

from martenrouter.settings.load import BadSettings, checked, evaluate


class _Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class Phase(_Part):
    """`rate` reqs a second for `seconds`; with `to`, the rate goes evenly from `rate` to it."""

    seconds: float
    rate: float
    to: float | None = None


class Mix(_Part):
    """A kind of req and how often it comes among all. Words are some 1.6 tokens."""

    weight: float = 1
    group: str | None = None
    customer: str | None = None
    opening_words: int = 100  # shared by all of this mix's sessions that have the same opening
    openings: int = 4
    turn_words: int = 40
    turns: int = 4  # of a session, after which it is over; answers aren't waited for
    max_tokens: int = 64
    deadline_ms: float = 20_000
    sessions: int = 50  # that are on at a time


class Profile(_Part):
    phases: list[Phase] = msgspec.field(default_factory=lambda: [Phase(seconds=10, rate=50)])
    mixes: list[Mix] = msgspec.field(default_factory=lambda: [Mix()])
    arrivals: typing.Literal["even", "poisson"] = "poisson"
    connections: int = 8  # for each worker and front
    seed: int = 1


def load(path):
    """The profile of a file, or the embedded one. Raises BadSettings."""
    profile = checked(evaluate(path), Profile, path) if path else Profile()
    return check(profile, path or "embedded profile")


def check(profile, where):
    for i, phase in enumerate(profile.phases):
        if not (phase.seconds > 0 and phase.rate >= 0 and (phase.to is None or phase.to >= 0)):
            raise BadSettings("%s: at phases[%d]: seconds over 0, rates not below 0" % (where, i))
    if not profile.phases or not sum(phase.rate + (phase.to or 0) for phase in profile.phases):
        raise BadSettings("%s: at phases: nothing would be asked" % where)
    if (
        not profile.mixes
        or any(mix.weight < 0 for mix in profile.mixes)
        or not sum(mix.weight for mix in profile.mixes)
    ):
        raise BadSettings("%s: at mixes: weights over 0 are needed" % where)
    for i, mix in enumerate(profile.mixes):
        if (
            min(mix.sessions, mix.turns, mix.openings, mix.turn_words, mix.max_tokens) < 1
            or mix.deadline_ms <= 0
        ):
            raise BadSettings(
                "%s: at mixes[%d]: sessions, turns, openings, turn_words, max_tokens are 1 at least"
                % (where, i)
            )
    return profile


def due_times(profile, rnd, worker, workers):
    """Seconds from the start at which this worker's reqs are due, as an iterator: a worker takes each
    `workers`-th, so that all together keep the profile's rate and no worker waits for another."""
    begin, count = 0.0, 0
    for phase in profile.phases:
        # reqs due by t: rate t + slope t^2; the next is due where that has grown by one, or by an
        # exponential's draw
        slope, total = (
            ((phase.rate if phase.to is None else phase.to) - phase.rate) / (2 * phase.seconds),
            0.0,
        )
        while True:
            total += rnd.expovariate(1) if profile.arrivals == "poisson" else 1.0
            at = _when(total, phase.rate, slope)
            if at is None or at >= phase.seconds:
                break
            if count % workers == worker:
                yield begin + at
            count += 1
        begin += phase.seconds


def _when(total, rate, slope):
    if abs(slope) < 1e-12:
        return total / rate if rate else None
    under = rate * rate + 4 * slope * total
    return (under**0.5 - rate) / (2 * slope) if under >= 0 else None
