"""Which reqs are taken at all: bounds on open reqs, a deadline that is past, a front that is stopping.

`Admission.arrived` answers None (taken) or (reason, time to return in microseconds). What is not taken was
never forwarded, so a retry is harmless whatever the endpoint group.
"""


class Admission:
    def __init__(self, settings):
        self.most, self.most_each = settings["open_reqs"], settings["open_reqs_a_connection"]
        self.advice_cap, self.groups = settings["advice_cap"], settings["groups"]
        self.open, self.by_connection = {}, {}  # req -> connection; connection -> how many
        self.stopping = False
        self.ended = []  # times of the last ends, the newest at the end: how quickly room comes back

    def arrived(self, now, id, group, connection, deadline):
        if self.stopping:
            return "stopping", 0  # another front has room now
        if deadline <= now:
            return "deadline past", 0
        if self.by_connection.get(connection, 0) >= self.most_each:
            return "connection full", self._return_after(now, group)
        if len(self.open) >= self.most:
            return "front full", self._return_after(now, group)
        self.taken(id, connection)
        return None

    def taken(self, id, connection):
        """Counts a req that is open, also one that another decider took."""
        self.open[id] = connection
        self.by_connection[connection] = self.by_connection.get(connection, 0) + 1

    def ended_one(self, now, id):
        connection = self.open.pop(id, None)
        if connection is None:
            return
        left = self.by_connection[connection] - 1
        if left:
            self.by_connection[connection] = left
        else:
            del self.by_connection[connection]
        self.ended.append(now)
        del self.ended[:-64]

    def _return_after(self, now, group):
        """Until a sixteenth of the places have come free, at the rate of the last ends; half a target without
        one."""
        target = self.groups.get(group, {}).get("target", 0)
        if len(self.ended) < 8:
            return min(target // 2, self.advice_cap)
        each = max(now - self.ended[0], 1) / len(self.ended)
        return int(min(max(each * self.most / 16, 10_000), self.advice_cap))
