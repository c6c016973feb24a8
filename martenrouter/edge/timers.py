"""Marks that fall due at a time; one heap, of which the desk takes what is due each round."""

import heapq


class Timers:
    def __init__(self):
        self._heap = []

    def add(self, at, mark):
        heapq.heappush(self._heap, (at, mark))

    def next_at(self):
        return self._heap[0][0] if self._heap else None

    def due(self, now):
        marks = []
        while self._heap and self._heap[0][0] <= now:
            marks.append(heapq.heappop(self._heap)[1])
        return marks
