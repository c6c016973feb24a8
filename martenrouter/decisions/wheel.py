"""A timing wheel: hundreds of thousands of things that fall due, most of which are taken back before. No
clock; time is handed in.

Two levels: slots of a tick, and slots of a whole turn of the first. Putting in and taking out cost the same
however many there are; what is taken out leaves nothing behind, where a heap would hold it until its time.
Times are whole microseconds; a thing falls due in the tick after its time at the latest.
"""


class Wheel:
    SLOTS = 256

    def __init__(self, now, tick):
        """`tick`: microseconds of a slot."""
        self.tick, self.at = tick, now // tick
        self.fine = [{} for _ in range(self.SLOTS)]
        self.coarse = [{} for _ in range(self.SLOTS)]
        self.far = {}
        self.where = {}  # key -> the slot it is in

    def __len__(self):
        return len(self.where)

    def put(self, key, due):
        """A key that is in already moves to the new time."""
        self.take(key)
        due_tick = max(-(-due // self.tick), self.at + 1)
        self._slot(due_tick)[key] = due_tick
        self.where[key] = self._slot(due_tick)

    def _slot(self, due_tick):
        if due_tick - self.at <= self.SLOTS:
            return self.fine[due_tick % self.SLOTS]
        turn = due_tick // self.SLOTS
        if turn - self.at // self.SLOTS < self.SLOTS:
            return self.coarse[turn % self.SLOTS]
        return self.far

    def take(self, key):
        """Whether it was in."""
        slot = self.where.pop(key, None)
        if slot is None:
            return False
        del slot[key]
        return True

    def due(self, now):
        """Keys that have fallen due by now, in the order of their ticks, then of their putting in; they are
        taken out."""
        found, until = [], now // self.tick
        if not self.where:
            self.at = max(until, self.at)
            return found
        while self.at < until:
            self.at += 1
            if self.at % self.SLOTS == 0:
                self._turn()
            slot = self.fine[self.at % self.SLOTS]
            if slot:
                ready = [key for key, tick in slot.items() if tick <= self.at]
                for key in ready:
                    del slot[key], self.where[key]
                found += ready
            if not self.where:
                self.at = until
        return found

    def _turn(self):
        """A new turn of the fine slots: what the coarse slot of that turn holds is spread over them."""
        turn = self.at // self.SLOTS
        moving, self.coarse[turn % self.SLOTS] = self.coarse[turn % self.SLOTS], {}
        if turn % self.SLOTS == 0:
            moving, self.far = {**self.far, **moving}, {}
        for key, tick in moving.items():
            slot = self._slot(max(tick, self.at))
            slot[key] = tick
            self.where[key] = slot
