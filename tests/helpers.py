"""A writer that remembers what the module decided, and short ways to set a front up."""

from martenrouter.rules import Front

SETTINGS = {
    "groups": [{"name": "chat", "effect": "replayable", "target": 1_000_000, "importance": 1}],
    "kinds": ["rd", "wr"],
    "role_by_kind": ["read", "write"],
    "memory_by_kind": [200_000, 100_000],
    "fronts": 1,
    "round": 2000,
    "release_within": 300_000,
    "forwards_cap": 4,
    "may_cancel": True,
    "cold_share": 0.3,
    "warm_within": 10_000_000,
    "cold_multiple": 3,
    "cold_window": 3_000_000,
    "target_per_1000_prompt": [40_000],
    "token_target": [60_000],
}


class Seen(list):
    def __getattr__(self, name):
        return lambda *args, **_: self.append((name,) + args)

    def all(self, name):
        return [row[1:] for row in self if row[0] == name]


def row(id, role, cell=0, zone="z", born=0, phase="up"):
    return (phase, 1.0, zone, id, cell, role, born)


class Rig:
    """One front with its clock; `play` runs a round and returns what was decided."""

    def __init__(self, rows=None, seed=7, **settings):
        self.front, self.now = Front(seed, dict(SETTINGS, **settings)), 1_000_000_000
        self.play(("listed", (1, "first", [row("r1", "rd"), row("w1", "wr")] if rows is None else rows)))

    def play(self, *calls, after=2000):
        self.now += after
        seen = Seen()
        self.front.turn(self.now, list(calls), seen)
        return seen

    def ask(self, id, group="chat", prompt=1000, session="s", prefix=None, last=4_000_000, after=2000):
        return self.play(
            ("arrived", (id, group, None, session, self.now + after + last, None, prefix, prompt, 0, 100, 0)),
            after=after,
        )

    def end(self, id, n, ending, engine, final=False, note=0, load=None, after=2000):
        return self.play(("outcome", (id, n, ending, engine, 1000, final, note, load)), after=after)
