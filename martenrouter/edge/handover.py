"""An edge's facts as plain data, from which a decider is rebuilt: a planner that connects, or the edge's own
when it takes over.

Reqs that need deciding come at once; begun answers and pauses without a state, of which there may be
thousands, follow a few a round (`of_one`), so that neither program's loop is held for long. Events that were
posted and not yet decided are not part of them and are dropped with the old decider: each is a fact already
(a read that ended is a held state, a call that was answered has its result), and what was decided and not
done never was.
"""

from martenrouter.decisions.conversations import ANSWERED, OUT, QUEUED
from martenrouter.edge import clock

UNREAD, READING, READ, WRITING, STARTED = range(5)  # stages as the module counts them


def facts(front):
    now = clock.now()
    members = front.roster.members
    urgent, later = [], []
    for r in front.reqs.values():
        if not r.answered:
            calm = r.paused and r.held is None or r.owner is not None and r.forwards and not r.paused
            (later if calm else urgent).append(r)
    return {
        "version": members.version,
        "stopping": front.stopping,
        "rows": [
            (
                entry.phase,
                entry.weight,
                entry.zone,
                entry.id,
                entry.cell,
                entry.kind,
                members.births.get((entry.id, entry.start)) if entry.start else None,
            )
            for entry in members.entries.values()
        ],
        "reqs": [_req(front, r, now) for r in urgent],
        "later": [(r.id, r.conn_id) for r in later],
    }


def of_one(front, id):
    """Facts of one req; None when it has been answered."""
    r = front.reqs.get(id)
    return None if r is None or r.answered else _req(front, r, clock.now())


def _req(front, r, now):
    prompt, left = (r.told[6], r.told[8]) if not r.leg and not r.texts and not r.paused else front._size(r)
    out = [(n, f.engine, now - f.sent, f.began) for (leg, n), f in sorted(r.forwards.items())]
    roles = {f.role for f in r.forwards.values()}
    stage = (
        STARTED
        if r.owner is not None and r.forwards
        else READING
        if roles == {"read"}
        else WRITING
        if roles
        else READ
        if r.held is not None
        else UNREAD
    )
    return {
        "id": r.id,
        "conn": r.conn_id,
        "told": r.told,
        "leg": r.leg,
        "steps": r.step + r.paused,
        "rewrites": r.rewrites,
        "effects": any(
            call.wanted and not r.repeatable.get(call.whole.name, False) for call in r.calls.values()
        ),
        "prompt": prompt,
        "left": left,
        "flowed": len(r.step_texts) if r.owner else 0,
        "paused": r.paused,
        "holder": r.held.engine if r.paused and r.held else None,
        "calls": [
            (
                call.identity,
                call.whole.name,
                r.repeatable.get(call.whole.name, False),
                ANSWERED if call.result is not None else OUT if call.wanted else QUEUED,
                now - call.sent_at if call.wanted else 0,
            )
            for call in r.calls.values()
        ],
        "age": now - r.leg_at,
        "stage": stage,
        "used": r.used,
        "reader": r.reader,
        "since": now - r.since,
        "held": r.held is not None,
        "out": out,
        "broke": r.owner is not None and not r.forwards and not r.paused,
        "swamped": r.swamped,
        "orphan": any(
            call.dropped and call.wanted and not r.repeatable.get(call.whole.name, False)
            for call in r.calls.values()
        ),
        "effect": (r.effect[0], r.effect[1], now - r.effect[2], True) if r.effect else None,
    }
