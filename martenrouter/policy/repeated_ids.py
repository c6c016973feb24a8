"""Ids of requests that may have run and may not run again, for as long as they can come again.

A request's id is its client's word for it: one that comes again, on another connection or after its client
has left, is the same request, though nothing of the first is open any more.
"""

import collections

REMEMBERED = 20_000  # ids at the most; those that ended longest ago are forgotten first


class RepeatedIds:
    def __init__(self):
        self._ended = collections.OrderedDict()
        self.most = REMEMBERED  # fewer where memory is small

    def ended(self, id, effect, may_have_run):
        """The request is over; `effect`: of its endpoint group; `may_have_run`: whether an attempt may have
        had its effect."""
        if not may_have_run or effect == "replayable":
            return
        self._ended.pop(id, None)
        self._ended[id] = None
        if len(self._ended) > self.most:
            self._ended.popitem(last=False)

    def may_run(self, id):
        """Whether no request of that id is known to have run that may not run again."""
        return id not in self._ended
