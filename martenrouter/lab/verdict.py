"""A rehearsal's verdict: the judge's, and what the scenario itself expects; as a plain value and as text."""

from martenrouter.standins.judge import RULES, Judge
from martenrouter.state import records


def verdict(directory, expect=None, codes=None):
    """Judges a directory of records. `expect`: scenario.Expect; `codes`: the fronts' exit codes."""
    return judged(records.read(directory), expect, codes)


def judged(told, expect=None, codes=None):
    """The same of records in memory."""
    judge = Judge(told).judge()
    figures, first = judge.figures()
    rules = {rule: {"kept": True, "breaks": []} for rule in RULES}
    for rule, req, t, message in judge.breaks:
        rules[rule]["kept"] = False
        rules[rule]["breaks"].append(
            {"req": req, "at s": round((t - judge.start) / 1e6, 3), "message": message}
        )
    missed = _missed(expect, figures) if expect else []
    for front, code in (codes or {}).items():
        if code != 0:
            missed.append(
                "%s ended with %s, not 0, after a clean stop" % (front, "a kill" if code is None else code)
            )
    return {
        "kept": all(rule["kept"] for rule in rules.values()),
        "expected": not missed,
        "rules": rules,
        "missed": missed,
        "figures": figures,
    }, first


def _missed(expect, figures):
    reqs, endings = max(figures["reqs"], 1), figures["endings"]
    answered = sum(endings.get(name, 0) for name in ("done", "pushed back", "aborted"))
    shares = {"done": endings.get("done", 0) / reqs, "aborted": endings.get("aborted", 0) / reqs}
    missed = []
    if shares["done"] < expect.done_at_least:
        missed.append("done: %.3f of the reqs, %.3f expected" % (shares["done"], expect.done_at_least))
    if shares["aborted"] > expect.aborted_at_most:
        missed.append(
            "aborted: %.3f of the reqs, at most %.3f expected" % (shares["aborted"], expect.aborted_at_most)
        )
    if answered < expect.answered_at_least:
        missed.append("answered: %d reqs, %d expected" % (answered, expect.answered_at_least))
    return missed


def text(told, first):
    """The verdict for a person. Figures are of stand-ins, not of real engines."""
    figures, lines = told["figures"], []
    lines.append("rules (judged from the traffic at the sockets of clients, engines and list)")
    for rule, found in told["rules"].items():
        lines.append(
            "  %-18s %s" % (rule, "kept" if found["kept"] else "BROKEN, %d times" % len(found["breaks"]))
        )
        for one in found["breaks"][:5]:
            lines.append("      %8.3f s  req %s: %s" % (one["at s"], one["req"], one["message"]))
    endings = figures["endings"]
    lines.append(
        "reqs %d: %s"
        % (figures["reqs"], ", ".join("%s %d" % pair for pair in sorted(endings.items()) if pair[1]))
    )
    for reason, count in figures["reasons"].items():
        lines.append("    %4d  %s" % (count, reason))
    lines.append(
        "first tokens later than wanted: %d; forwards a req: %.2f"
        % (figures["late first tokens"], figures["forwards a req"])
    )
    lines.append(
        "prompt tokens read %d, in vain %d; answer tokens written %d, in vain %d"
        % (*figures["prompt tokens"].values(), *figures["answer tokens"].values())
    )
    if figures["tools"]["called"]:
        lines.append("tools: " + ", ".join("%s %d" % pair for pair in figures["tools"].items()))
    if first.total_count:
        lines.append("first token, milliseconds (stand-in engines):")
        for p in (50, 75, 90, 95, 99, 100):
            value = first.get_value_at_percentile(p) / 1000
            lines.append("    p%-4d %8.1f  %s" % (p, value, "#" * min(int(value / 20) + 1, 60)))
    lines.append("the machine stood still for %.0f ms at the most" % figures["machine lag ms"])
    if "ledger" in told:
        ledger = told["ledger"]
        lines.append(
            "ledger against traffic: %d charges, %d units, %d reqs done; spent %s"
            % (
                ledger["charges"],
                ledger["units"],
                ledger["done"],
                ", ".join("%s %d" % pair for pair in sorted(ledger["spent"].items())),
            )
        )
        for what, req, message in ledger["breaks"][:10]:
            lines.append("    BROKEN, %s: %s: %s" % (what, req, message))
    for miss in told["missed"]:
        lines.append("NOT AS EXPECTED: %s" % miss)
    lines.append(
        "verdict: %s"
        % (
            "all rules kept, all as the scenario expects"
            if told["kept"] and told["expected"]
            else "NOT all kept"
            if not told["kept"]
            else "rules kept, but not as the scenario expects"
        )
    )
    return "\n".join(lines)
