"""The emulator's queue of events: by time, then by the order in which they were put in. Times are whole
microseconds.

A wheel: events of the bucket that is on lie in a heap, those of later buckets unsorted in a list of their
own, which becomes the heap when its time has come. Most events lie a few milliseconds ahead, so that the heap
stays small; see bench/emulator.py for the measure against one heap. Both give the same order.
"""

import heapq

# a bucket of 1,024 us: about the fronts' round, so that a bucket holds what one round of all fronts causes
SHIFT = 10


class Wheel:
    def __init__(self):
        self.now, self.count = 0, 0
        self._near, self._bucket = [], 0
        self._far, self._order = {}, []  # bucket -> events; heap of buckets

    def at(self, time, call, *arguments):
        """`call(*arguments)` at `time`; a time that is past is now."""
        time = time if time > self.now else self.now
        self.count += 1
        bucket = time >> SHIFT
        if bucket <= self._bucket:
            heapq.heappush(self._near, (time, self.count, call, arguments))
        elif bucket in self._far:
            self._far[bucket].append((time, self.count, call, arguments))
        else:
            self._far[bucket] = [(time, self.count, call, arguments)]
            heapq.heappush(self._order, bucket)

    def run(self, until):
        """Plays all events up to and with `until`. What events raise goes out; the queue can be gone on
        with."""
        pop = heapq.heappop
        while True:
            near = self._near
            if not near:
                if not self._order or self._order[0] << SHIFT > until:
                    break
                self._bucket = pop(self._order)
                self._near = near = self._far.pop(self._bucket)
                heapq.heapify(near)
            while near:
                if near[0][0] > until:
                    self.now = until
                    return
                time, _, call, arguments = pop(near)
                self.now = time
                call(*arguments)
        self.now = max(self.now, until)

    def __len__(self):
        return len(self._near) + sum(map(len, self._far.values()))


class Heap:
    """The plain way, to measure against."""

    def __init__(self):
        self.now, self.count, self._heap = 0, 0, []

    def at(self, time, call, *arguments):
        self.count += 1
        heapq.heappush(self._heap, (max(time, self.now), self.count, call, arguments))

    def run(self, until):
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(heap)
            call(*arguments)
        self.now = max(self.now, until)
