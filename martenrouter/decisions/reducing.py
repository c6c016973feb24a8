"""Cuts a day down to the least that still shows a failure: delta debugging over its troubles, then over its
sizes.

After Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input" (IEEE TSE 2002): try halves,
then ever smaller parts and what is left without them, until no single part can be left out. A generator: it
yields candidates and is sent whether each still shows the failure, so that who plays them may do so wherever
it likes; `budget` bounds how many are asked.
"""


def reduce(parts, budget):
    """Yields lists of parts; send(True) when the failure still shows. Returns the least list found
    (StopIteration's value)."""
    parts, count, asked = list(parts), 2, 0
    if parts:
        asked += 1
        if (yield []):
            return []  # none of them is needed
    while len(parts) >= 1 and asked < budget:
        size = max(len(parts) // count, 1)
        chunks = [parts[i : i + size] for i in range(0, len(parts), size)]
        for kind in ("only", "without"):
            found = None
            for i, chunk in enumerate(chunks):
                rest = (
                    chunk
                    if kind == "only"
                    else [one for j, other in enumerate(chunks) if j != i for one in other]
                )
                if (
                    len(rest) == len(parts)
                    or kind == "only"
                    and len(chunks) == 2
                    and i > 1
                    or asked >= budget
                ):
                    continue
                asked += 1
                if (yield rest):
                    found = rest
                    break
            if found is not None:
                parts, count = found, 2 if kind == "only" else max(count - 1, 2)
                break
        else:
            if size == 1:
                break
            count = min(2 * count, len(parts))
    return parts


def shrink(value, least, budget):
    """Yields smaller numbers, by halves towards `least`; send(True) when the failure still shows. Returns the
    smallest found."""
    low, high, asked = least, value, 0
    while high - low > max(least, 1) * 0.1 and asked < budget:
        middle = (low + high) / 2
        asked += 1
        if (yield middle):
            high = middle
        else:
            low = middle
    return high


def drive(generator, shows):
    """Plays a generator of the above with `shows(candidate)`; returns what it ends with."""
    try:
        candidate = next(generator)
        while True:
            candidate = generator.send(bool(shows(candidate)))
    except StopIteration as end:
        return end.value
