"""Work that can wait: when a process does some of it between its rounds, by importance and within a budget of
its time.

No clock, no threads: `pick(now)` names the work to do a slice of, or None; `ran` tells what the slice took
and whether the work is whole. A slice is never begun when its usual time doesn't fit in what the budget
holds, so that what is due in a round waits for one slice at most, and on average for no more than the
budget's share of the time.
"""


class Work:
    __slots__ = ("name", "importance", "every", "due", "begun", "usual", "slices", "spent")

    def __init__(self, name, importance, every, due):
        self.name, self.importance, self.every, self.due = name, importance, every, due
        self.begun, self.usual, self.slices, self.spent = False, 0, 0, 0


class Background:
    SHARE = 0.02  # of the time: a round waits two hundredths longer on average, which is within their scatter
    SAVED = (
        1_000_000  # the budget saves up for this long at the most: work after a quiet hour comes in no burst
    )
    STARVED = 4  # periods after which the less important goes first

    def __init__(self, now, share=SHARE):
        self.share, self.works = share, {}
        self.budget, self.at = 0.0, now

    def add(self, now, name, importance, every):
        """Work that falls due each `every` microseconds; the more important goes first."""
        self.works[name] = Work(name, importance, every, now + every)

    def pick(self, now):
        self.budget = min(self.budget + (now - self.at) * self.share, self.SAVED * self.share)
        self.at = max(now, self.at)
        due = [work for work in self.works.values() if work.begun or now >= work.due]
        if not due or self.budget <= 0:
            return None
        # what has waited for some of its periods goes first, then importance, then who has waited longest
        work = min(
            due,
            key=lambda work: (
                now - work.due < self.STARVED * work.every,
                -work.importance,
                work.due,
                work.name,
            ),
        )
        # a slice dearer than all that can be saved is begun when the budget is full, or it would never be
        if work.usual > self.budget and self.budget < self.SAVED * self.share:
            return None
        return work.name

    def ran(self, now, name, spent, whole):
        """A slice of it took `spent` microseconds; `whole`: it is done for this time. The budget may go below
        nothing."""
        work = self.works[name]
        work.usual += (spent - work.usual) / 4 if work.slices else spent
        work.slices, work.spent, work.begun = work.slices + 1, work.spent + spent, not whole
        self.budget -= spent
        if whole:
            work.due = max(work.due + work.every, now)  # one that fell behind is not done twice for it
