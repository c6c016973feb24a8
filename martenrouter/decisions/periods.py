"""Periods of a budget, in wall time: calendar ones (hour, day, month; UTC) and rolling ones. No clock; whole
microseconds.

A calendar period has a name ("2026-12-01", "2026-12", "2026-12-01T14") and an end. A rolling one holds the
last `length` in slots, of which the oldest leaves as time goes on: never less than what was spent in the
window, at most one slot's more.

Wall clocks are set back. A period that was begun is not begun again: time that goes back over a period's end
counts to the period that is on, so that nothing is granted twice.
"""

HOUR, DAY = 3_600_000_000, 86_400_000_000
CALENDAR = ("hour", "day", "month")
SLOTS = 60  # of a rolling window: what it holds is too high by a sixtieth at the most


def civil(days):
    """(year, month, day) of a day number from 1970-01-01, proleptic Gregorian (Hinnant, "chrono-Compatible
    Low-Level Date Algorithms")."""
    days += 719_468
    era, of_era = days // 146_097, days % 146_097
    year_of_era = (of_era - of_era // 1460 + of_era // 36_524 - of_era // 146_096) // 365
    day_of_year = of_era - (365 * year_of_era + year_of_era // 4 - year_of_era // 100)
    shifted = (5 * day_of_year + 2) // 153
    month = shifted + 3 if shifted < 10 else shifted - 9
    return year_of_era + era * 400 + (month <= 2), month, day_of_year - (153 * shifted + 2) // 5 + 1


def days_of(year, month, day):
    year -= month <= 2
    era, year_of_era = year // 400, year % 400
    day_of_year = (153 * (month - 3 if month > 2 else month + 9) + 2) // 5 + day - 1
    return era * 146_097 + year_of_era * 365 + year_of_era // 4 - year_of_era // 100 + day_of_year - 719_468


def calendar(kind, wall):
    """(name, begin, end) of the calendar period that a wall time lies in."""
    days = wall // DAY
    year, month, day = civil(days)
    if kind == "hour":
        begin = wall // HOUR * HOUR
        return "%04d-%02d-%02dT%02d" % (year, month, day, wall % DAY // HOUR), begin, begin + HOUR
    if kind == "day":
        return "%04d-%02d-%02d" % (year, month, day), days * DAY, (days + 1) * DAY
    following = (year + month // 12, month % 12 + 1)
    return "%04d-%02d" % (year, month), days_of(year, month, 1) * DAY, days_of(*following, 1) * DAY


class Calendar:
    """What was spent in the calendar period that is on."""

    def __init__(self, kind):
        self.kind, self.name, self.end, self.spent = kind, "", 0, 0

    def turn(self, wall):
        """Goes on to the period of a wall time; never back. True when a new one began."""
        if self.name and wall < self.end:
            return False
        self.name, _, self.end = calendar(self.kind, wall)
        self.spent = 0
        return True

    def read(self, wall):
        self.turn(wall)
        return self.spent

    def add(self, wall, amount):
        self.turn(wall)
        self.spent = max(self.spent + amount, 0)

    def room_at(self, wall, amount, cap):
        """Wall time at which `amount` fits under `cap`, or None when it never does."""
        self.turn(wall)
        if amount > cap:
            return None
        return wall if self.spent + amount <= cap else self.end

    def state(self):
        return [self.name, self.end, self.spent]

    def put(self, state):
        self.name, self.end, self.spent = state


class Rolling:
    """What was spent in the last `length` microseconds."""

    def __init__(self, length):
        self.slot = max(length // SLOTS, 1)
        self.slots, self.at, self.total = {}, 0, 0

    def _age(self, wall):
        self.at = max(wall // self.slot, self.at)
        for slot in [slot for slot in self.slots if slot <= self.at - SLOTS - 1]:
            self.total -= self.slots.pop(slot)

    def read(self, wall):
        self._age(wall)
        return self.total

    def add(self, wall, amount):
        self._age(wall)
        amount = max(amount, -self.total)
        self.slots[self.at] = self.slots.get(self.at, 0) + amount
        self.total += amount

    def room_at(self, wall, amount, cap):
        self._age(wall)
        if amount > cap:
            return None
        over, at = self.total + amount - cap, wall
        for slot in sorted(self.slots):
            if over <= 0:
                break
            over -= self.slots[slot]
            at = (slot + SLOTS + 1) * self.slot
        return max(at, wall)

    def state(self):
        return [self.at, self.total, sorted(self.slots.items())]

    def put(self, state):
        self.at, self.total, self.slots = state[0], state[1], dict(map(tuple, state[2]))


def period(told):
    """hour, day, month, or a number of microseconds for a rolling window."""
    return Calendar(told) if told in CALENDAR else Rolling(told)
