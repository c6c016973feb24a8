"""What a ledger's entries mean: which are the same, what they add up to, what is missing. No I/O and no
clock.

An entry is never changed. Each has an identity; the same identity with the same content is the same entry and
counts once, with other content it is a contradiction and is named. A correction is an entry of its own that
refers to the one it corrects; it may be corrected itself, so that the last word is the sum. An entry belongs
to the period in which it was settled, which is never an earlier one than that of the entry before it: a
period that was closed gets nothing more, and an answer that streams over its end counts to the next.
"""

CHARGE, CORRECTION, CLOSE, RESOLVED = "charge", "correction", "close", "resolved"
KINDS = (CHARGE, CORRECTION, CLOSE, RESOLVED)


class BadEntry(Exception):
    """An entry that can't be booked; the text names what and why."""


def charge(identity, period, wall, customer, group, session, prompt, written, units, trace=None):
    return {
        "id": identity,
        "kind": CHARGE,
        "period": period,
        "wall": wall,
        "customer": customer,
        "group": group,
        "session": session,
        "prompt": prompt,
        "written": written,
        "units": units,
        "of": None,
        "why": trace,
    }


def resolved(identity, period, wall, customer, group, session):
    """A reservation that a crash left: its client was told nothing, so nothing is charged, and it is said."""
    return {
        "id": identity + "/resolved",
        "kind": RESOLVED,
        "period": period,
        "wall": wall,
        "customer": customer,
        "group": group,
        "session": session,
        "prompt": 0,
        "written": 0,
        "units": 0,
        "of": identity,
        "why": "left by a crash",
    }


def correction(known, period, wall, number, units, why, prompt=0, written=0):
    """Corrects the entry `known` by `units` more (or less), in the period that is on. `number`: how many it
    has had before. Raises BadEntry."""
    if known is None:
        raise BadEntry("no entry of that identity here")
    if known["kind"] not in (CHARGE, CORRECTION):
        raise BadEntry("%s is a %s; charges and corrections can be corrected" % (known["id"], known["kind"]))
    if not units and not prompt and not written:
        raise BadEntry("a correction of nothing to %s" % known["id"])
    return {
        "id": "%s/c%d" % (known["id"], number + 1),
        "kind": CORRECTION,
        "period": period,
        "wall": wall,
        "customer": known["customer"],
        "group": known["group"],
        "session": known["session"],
        "prompt": prompt,
        "written": written,
        "units": units,
        "of": known["id"],
        "why": why,
    }


def close(front, period, period_end, wall, totals):
    """`totals`: what the period held for each customer. A period that is over gets nothing more, since
    entries are booked to the period that is on, which never goes back (periods.Calendar). Raises BadEntry for
    one that is not over."""
    if wall < period_end:
        raise BadEntry("period %s is not over" % period)
    return {
        "id": "%s/close/%s" % (front, period),
        "kind": CLOSE,
        "period": period,
        "wall": wall,
        "customer": None,
        "group": None,
        "session": None,
        "prompt": 0,
        "written": 0,
        "units": sum(totals.values()),
        "of": None,
        "why": None,
        "totals": sorted(totals.items(), key=lambda one: str(one[0])),
    }


def counts(entry):
    return entry["kind"] in (CHARGE, CORRECTION)


class Sums:
    """Entries added up: (customer, period) -> [units, prompt tokens, answer tokens, entries]."""

    def __init__(self):
        self.of, self.seen, self.same, self.contradictions = {}, {}, [], []

    def add(self, entry):
        """Whether it counted: False for one that was there already."""
        digest = _digest(entry)
        before = self.seen.get(entry["id"])
        if before is not None:
            (self.same if before == digest else self.contradictions).append(entry["id"])
            return False
        self.seen[entry["id"]] = digest
        if counts(entry):
            held = self.of.setdefault((entry["customer"], entry["period"]), [0, 0, 0, 0])
            for i, name in enumerate(("units", "prompt", "written")):
                held[i] += entry[name]
            held[3] += 1
        return True


def _digest(entry):
    return tuple(sorted((name, str(value)) for name, value in entry.items() if name != "seq"))


def gaps(ranges):
    """`ranges`: (first, last) sequence numbers of one front's exports, in any order. ([missing (first,
    last)], [doubled (first, last)])."""
    missing, doubled, due = [], [], 1
    for first, last in sorted(ranges):
        if first > due:
            missing.append((due, first - 1))
        elif first < due:
            doubled.append((first, min(last, due - 1)))
        due = max(due, last + 1)
    return missing, doubled


def reconcile(exports):
    """`exports`: (front, first, last, entries, whole) of each file. A plain value: totals over all fronts,
    and all that is wrong."""
    sums, by_front, torn, wrong_close = Sums(), {}, [], []
    closed = {}
    for front, first, last, entries, whole in sorted(exports, key=lambda one: (one[0], one[1])):
        if not whole:
            torn.append((front, first))
            continue
        by_front.setdefault(front, []).append((first, last))
        for entry in entries:
            fresh = sums.add(entry)
            if fresh and entry["kind"] == CLOSE:
                closed[(front, entry["period"])] = entry
            elif fresh and (front, entry["period"]) in closed:
                wrong_close.append(entry["id"])
    found = {front: gaps(ranges) for front, ranges in sorted(by_front.items())}
    return {
        "totals": [
            [customer, period, *held] for (customer, period), held in sorted(sums.of.items(), key=str)
        ],
        "entries": len(sums.seen),
        "doubled entries": sorted(sums.same),
        "contradictions": sorted(sums.contradictions),
        "missing": [[front, *span] for front, (missing, _) in found.items() for span in missing],
        "doubled": [[front, *span] for front, (_, doubled) in found.items() for span in doubled],
        "torn": [list(one) for one in torn],
        "after a close": sorted(wrong_close),
    }


def in_order(told):
    """Whether a reconciliation found nothing wrong. A file that came twice is harmless: its entries counted
    once."""
    return not any(told[name] for name in ("contradictions", "missing", "torn", "after a close"))
