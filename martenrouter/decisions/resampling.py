"""What a difference between two builds is worth: intervals by bootstrap over paired days. No I/O; chance is
handed in.

Days are the unit: reqs of one day share its troubles and say the same thing many times. Pairs (the same day
under both builds) are drawn with replacement; the interval is the middle part of what such draws give. With
under five pairs no interval is honest, and none is given.
"""

LEAST_PAIRS = 5
DRAWS = 2000  # the ends of a 95% interval then rest on some fifty draws each
PART = 0.95


def mean(values):
    return sum(values) / len(values)


def interval(differences, random, draws=DRAWS, part=PART):
    """(mean, low, high) of paired differences; low and high are None with too few. `random`: a seeded
    generator."""
    if not differences:
        return None, None, None
    if len(differences) < LEAST_PAIRS:
        return mean(differences), None, None
    count = len(differences)
    means = sorted(sum(random.choices(differences, k=count)) / count for _ in range(draws))
    cut = int(draws * (1 - part) / 2)
    return mean(differences), means[cut], means[draws - 1 - cut]


def verdict(low, high, least):
    """better, worse, alike (the interval lies within `least` of nothing), or unclear."""
    if low is None:
        return "too few days"
    if low > 0 and high > least:
        return "better"
    if high < 0 and low < -least:
        return "worse"
    return "alike" if -least <= low and high <= least else "unclear"


def by_kind(pairs, random):
    """`pairs`: (kinds of the day, difference). {kind: (days, mean, low, high)}: a day counts for each kind of
    trouble it holds."""
    groups = {}
    for kinds, difference in pairs:
        for kind in kinds:
            groups.setdefault(kind, []).append(difference)
    return {kind: (len(groups[kind]), *interval(groups[kind], random)) for kind in sorted(groups)}
