"""What scripted clients ask, when, and what their tools answer: drawn from a seed, without I/O or clock.
Players on sockets and in virtual time draw the same.
"""

import random

WORDS = (
    "radiator meter valve boiler reading bill flow return pump hall pipe heat pressure window night cold "
    "warm room "
    "building floor manager autumn winter morning report number please check why slow when today"
).split()
TURNS = 9  # messages after which a session is over


class Session:
    def __init__(self, id, opening):
        self.id, self.messages = id, [{"role": "system", "content": opening}]


class Arrival:
    """One req to be asked. `leave`: how its client leaves it (cancel, close, rejoin, None), `after` so many
    seconds."""

    __slots__ = ("session", "group", "text", "trace", "early", "leave", "after", "front", "customer")

    def __init__(self, session, group, text, trace, early, leave, after, front, customer):
        self.session, self.group, self.text, self.trace, self.early = session, group, text, trace, early
        self.leave, self.after, self.front, self.customer = leave, after, front, customer


class Arrivals:
    def __init__(self, fronts, traffic, rnd):
        """`fronts`: their names; `traffic`: lab.scenario.Traffic; `rnd`: a seeded generator."""
        self.fronts, self.traffic, self.random = sorted(fronts), traffic, rnd
        # when they come, and what each is, don't hang on how those before ended: two builds get the same day
        self.gaps, self.base, self.count = random.Random(rnd.getrandbits(64)), rnd.getrandbits(64), 0
        self.openings = [self._words(traffic.opening_words) for _ in range(traffic.openings)]
        self.idle, self.sessions, self.burst = [], 0, 1.0
        # shares, or weights, that troubles set for a while: all ask with one opening; prompts ten times as
        # long; deadlines of a tenth, after which the client is back at once; the first customer asks so many
        # times as often besides
        self.hot = self.tail = self.impatient = self.greedy = 0.0

    def _words(self, count):
        return " ".join(
            self.random.choice(WORDS) for _ in range(max(int(count * self.random.uniform(0.5, 1.5)), 1))
        )

    def gap(self):
        """Seconds to the next arrival."""
        more = 1 + self.greedy / len(self.traffic.customers) if self.greedy else 1
        return self.gaps.expovariate(self.traffic.rate * self.burst * more)

    def arrival(self):
        self.count += 1
        rnd, traffic = random.Random("%d %d" % (self.base, self.count)), self.traffic
        self.random = rnd
        group = rnd.choices(range(len(traffic.shares)), traffic.shares)[0]
        goes_on, place, opening = rnd.random() < traffic.go_on, rnd.random(), rnd.choice(self.openings)
        opening = self.openings[0] if rnd.random() < self.hot else opening
        if self.idle and goes_on and not self.hot:
            session = self.idle.pop(int(place * len(self.idle)))
        else:
            self.sessions += 1
            session = Session("s%d" % self.count, opening)
        text, trace = (
            self._words(traffic.turn_words * (10 if rnd.random() < self.tail else 1)),
            "%032x" % rnd.getrandbits(128),
        )
        early, how, after = rnd.random() < traffic.early, rnd.random(), rnd.uniform(0.02, 1.0)
        leave = (
            "cancel"
            if how < traffic.cancel
            else "close"
            if how < traffic.cancel + traffic.leave
            else "rejoin"
            if how < traffic.cancel + traffic.leave + traffic.rejoin
            else None
        )
        front, customer = rnd.choice(self.fronts), None
        if traffic.customers:
            weights = [1 + self.greedy] + [1] * (len(traffic.customers) - 1)
            customer = rnd.choices(traffic.customers, weights)[0]
        early = early or rnd.random() < self.impatient
        return Arrival(session, group, text, trace, early, leave, after, front, customer)

    def answered(self, session, text):
        """A session whose answer is whole waits for its next turn, if it is not over."""
        session.messages.append({"role": "assistant", "content": text})
        if len(session.messages) < TURNS:
            self.idle.append(session)

    def next_front(self, front):
        """Where a retry goes: another front."""
        return self.fronts[(self.fronts.index(front) + 1) % len(self.fronts)]


def trace_of(arrival, attempt):
    return "%s%02x" % (arrival.trace[:30], attempt)


def params(arrival, group, trace, traffic, deadline_ms):
    """Params of `generate` as a plain dict. `group`: a dict with name and effect."""
    told = {
        "messages": list(arrival.session.messages),
        "group": group["name"],
        "session": arrival.session.id,
        "max_tokens": traffic.max_tokens,
        "deadline_ms": deadline_ms,
        "trace": "00-%s-%s-01" % (trace, trace[:16]),
    }
    if group["effect"] == "keyed" or arrival.leave == "rejoin":
        told["key"] = trace
    if arrival.customer:
        told["customer"] = arrival.customer
    if traffic.tools:
        told["tools"] = [{"name": name, "repeatable": not name.startswith("set")} for name in traffic.tools]
    return told


def tool_run(trace, arguments, traffic):
    """What a tool answers and how: (text, whether it is never answered, seconds that it takes)."""
    chance = random.Random("%s %s" % (trace, arguments))
    text = "%s reads %d" % (arguments.get("meter"), chance.randrange(10_000))
    silent = chance.random() < traffic.tool_silent
    return text, silent, chance.uniform(0, 3) * traffic.tool_ms / 1000
