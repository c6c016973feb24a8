"""Many fronts, each with a module of its own, against readers and writers of which one comes back cold: what
all of them send it.

Engines here only take their time; reqs come by chance to fronts drawn by chance. A restarted front knows
nothing but the list.
"""

import heapq
import random

from tests.helpers import Rig, row


def sent_to_a_cold_one(
    fronts,
    seed,
    role="rd",
    fresh=0.0,
    multiple=4,
    share=0.35,
    capacity=10.0,
    engines=4,
    load=0.7,
    skew=0.0,
    fails=0.0,
):
    """[(microseconds after its start, sends in the window that ends then, what the settings allow it there)]
    of each send to it while it warms up.
    `fresh`: the part of the fronts that restart as they hear of it, each at a moment of its own; `capacity`:
    reqs a second; `skew`: the part of all reqs that comes to one front; `fails`: the part of the sends to it
    that it refuses or resets, which are sent again."""
    chance, window, warm = random.Random(seed), 3_000_000, 8_000_000
    cold, rows = (
        "r0" if role == "rd" else "w0",
        [row(kind[0] + str(i), kind) for kind in ("rd", "wr") for i in range(engines)],
    )
    settings = {
        "cold_multiple": multiple,
        "cold_share": share,
        "warm_within": warm,
        "cold_window": window,
        "fronts": fronts,
        "memory_by_kind": [],
    }
    rigs = [Rig(rows, seed=seed * 1000 + i, **settings) for i in range(fronts)]
    start = rigs[0].now
    born, sends, queue, count = start + 30_000_000, [], [], 0

    def at(when, *what):
        nonlocal count
        count += 1
        heapq.heappush(queue, (int(when), count, *what))

    def play(now, front, *call):
        rigs[front].now = now - 2000
        for id, engine, _ in rigs[front].play(call).all("forward"):
            if engine == cold and born <= now < born + warm:
                sends.append(now - born)
            at(
                now + chance.uniform(0.5, 1.5) * (1e6 / capacity if engine[0] == "r" else 1e5),
                front,
                "ends",
                id,
                engine,
            )

    when = start
    while when < born + warm:
        when += chance.expovariate(capacity * engines * load) * 1e6
        at(when, 0 if chance.random() < skew else chance.randrange(fronts), "asks")
    for front in range(fronts):
        at(born + chance.uniform(1e5, 1.5e6), front, "hears", chance.random() < fresh)
    while queue:
        now, id, front, what, *told = heapq.heappop(queue)
        if what == "asks":
            play(
                now,
                front,
                "arrived",
                (id, "chat", None, "s%d" % id, now + 4_000_000, None, None, 1000, 0, 100, 0),
            )
        elif what == "hears":
            if told[0]:
                rigs[front] = Rig(rows, seed=seed * 7777 + front, **settings)
            play(now, front, "listed", (2, "changes", [row(cold, role, born=born)]))
        else:
            req = rigs[front].front.reqs.get(told[0])
            for n, forward in list(req.out.items()) if req else ():
                if forward.engine.id == told[1] == cold and chance.random() < fails:
                    play(
                        now,
                        front,
                        "outcome",
                        (told[0], n, chance.choice(("full", "reset")), cold, 1000, False, 0, None),
                    )
                elif forward.engine.id == told[1] and told[1][0] == "r":
                    play(now, front, "outcome", (told[0], n, "read", told[1], 1000, False, 0, None))
                elif forward.engine.id == told[1]:
                    play(now, front, "first_token", (told[0], n, told[1], 100_000))
                    play(now, front, "outcome", (told[0], n, "done", told[1], 100_000, True, 0, None))

    def allowed(age):
        return multiple * capacity * window / 1e6 * min(share + (1 - share) * max(age, 0) / warm, 1)

    return [
        (age, sum(age - window < other <= age for other in sends), allowed(age - window)) for age in sends
    ]
