"""Who decides: the planner, or the edge by itself. No clock and no sockets: it is told what came when.

The planner is in charge while it answers each round within a bound. When it doesn't, the edge takes over at
once, under a new epoch; a planner that comes (back) gets all facts under another. One that keeps failing is
let in ever more seldom, so that a planner which is slow rather than dead doesn't cost its bound again and
again.
"""


class Takeover:
    SILENT = (
        80_000  # microseconds: the aim is to take over under 100 ms; a round takes some hundred microseconds
    )
    BEAT = 20_000  # an idle planner is asked this often: its death is seen a bound and a beat later at most
    AT_ONCE = 100  # begun answers told a round to a new decider: some 4 ms of work, a twentieth of the bound
    FIRST_WAIT, LONGEST_WAIT = 250_000, 30_000_000
    FORGIVEN = 20_000_000  # in charge this long without a fault, earlier ones are forgotten

    def __init__(self):
        self.in_charge, self.since = False, 0
        self.epoch = 1
        self.faults, self.not_before = 0, 0

    def may_hand_over(self, now):
        return not self.in_charge and now >= self.not_before

    def handed_over(self, now):
        """The planner decides from here. Returns the epoch."""
        self.in_charge, self.since = True, now
        self.epoch += 1
        return self.epoch

    def overdue(self, now, asked):
        """Whether a round asked at that time has waited too long."""
        return now - asked > self.SILENT

    def taken_over(self, now):
        """The edge decides from here. Returns the epoch."""
        if now - self.since > self.FORGIVEN:
            self.faults = 0
        self.faults += 1
        wait = min(self.FIRST_WAIT * 2 ** (self.faults - 1), self.LONGEST_WAIT)
        self.in_charge, self.not_before = False, now + wait
        self.epoch += 1
        return self.epoch

    @classmethod
    def for_planner(cls, settings):
        """Settings (the module's or the chain's) as a planner gets them: it lets held states go earlier, by
        as long as its silence may last unseen, so that the limit is kept through a takeover too. Found by
        `rehearse planner-killed-long`: states held for 350 ms and more where a planner had been stopped just
        before their release."""
        limit = settings["release_within"]
        return {**settings, "release_within": max(limit - cls.SILENT - cls.BEAT, limit // 3)}

    def counts(self, epoch):
        """Whether decisions of that epoch may act."""
        return self.in_charge and epoch == self.epoch


class Restarts:
    """When a supervisor starts a program again that ended: soon at first, ever later in a loop of crashes."""

    FIRST, LONGEST = 100_000, 10_000_000
    WELL = 30_000_000  # it ran this long: its end is a new matter
    LOOP = 5  # so many ends in a row are a loop, and are said to be one

    def __init__(self):
        self.ends = 0

    def ended(self, ran):
        """Microseconds to wait after it ran for `ran`."""
        self.ends = 1 if ran > self.WELL else self.ends + 1
        return min(self.FIRST * 2 ** (self.ends - 1), self.LONGEST)

    def in_a_loop(self):
        return self.ends >= self.LOOP
