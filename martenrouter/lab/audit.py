"""Checks a rehearsal's ledgers against its traffic: what clients got and engines counted, never the fronts'
own word of it.

Read are the traffic records of clients and engines, and the export files that the ledgers give once all
fronts have stopped.
"""

import collections

import msgspec

from martenrouter.decisions import booking
from martenrouter.settings import front as settings_of
from martenrouter.standins import answers
from martenrouter.state import records


def audited(scenario, directory, exports):
    """A rehearsal's ledgers against the records in its directory."""
    return audit(
        records.read(directory),
        exports,
        msgspec.convert(scenario.settings["budgets"], settings_of.Budgets),
        scenario.fronts,
    )


def audit(told, exports, budgets, fronts):
    """`told`: traffic records; `exports`: as booking.reconcile takes them; `budgets`: settings.front.Budgets.
    A plain value: breaks, each (what, req, message), and figures."""
    sums = booking.reconcile(exports)
    charges = {}
    breaks = [
        ("ledger", name, str(one))
        for name in ("missing", "contradictions", "torn", "after a close")
        for one in sums[name]
    ]
    for front, _, _, entries, whole in exports:
        for entry in entries:
            if entry["kind"] == booking.CHARGE:
                trace = (
                    (entry["why"] or "").split("-")[1]
                    if (entry["why"] or "").count("-") == 3
                    else entry["why"]
                )
                if trace in charges and charges[trace][1]["id"] != entry["id"]:
                    breaks.append(
                        (
                            "charged once",
                            trace,
                            "charged by %s and by %s" % (charges[trace][1]["id"], entry["id"]),
                        )
                    )
                charges[trace] = front, entry
    got, finals, reqs, prompts = collections.Counter(), {}, {}, {}
    left, lost = set(), set()
    for record in told:
        ev, trace = record["ev"], record.get("trace")
        if ev == "token_in":
            got[trace] += len(record["tokens"])
        elif ev == "final_in":
            finals.setdefault(trace, record)
        elif ev == "req_out" and record["who"] == "clients":
            reqs[trace] = record
        elif ev == "left":
            left.add(trace)
        elif ev == "conn_lost":
            lost.add(trace)
        elif ev == "forward_in" and record["kind"] != "write":
            trace = trace.split("-")[1] if trace.count("-") == 3 else trace
            prompts.setdefault(trace, record["prompt"])
    units, spent = 0, collections.Counter()
    for trace, req in sorted(reqs.items()):
        final, charge = finals.get(trace), charges.get(trace)
        ending = final["ending"] if final else None
        if ending == "done":
            if charge is None:
                breaks.append(("charged once", trace, "done, and not charged"))
                continue
            entry = charge[1]
            if entry["written"] != got[trace]:
                breaks.append(
                    (
                        "charged what it got",
                        trace,
                        "charged for %d answer tokens, %d came" % (entry["written"], got[trace]),
                    )
                )
            asked = answers.chain_of(req["messages"])[-1][1]
            if entry["prompt"] != prompts.get(trace, asked) or entry["prompt"] != asked:
                breaks.append(
                    (
                        "charged what it got",
                        trace,
                        "charged for a prompt of %d tokens; asked %d, engines counted %s"
                        % (entry["prompt"], asked, prompts.get(trace)),
                    )
                )
        elif (
            charge is not None
            and ending in ("pushed back", "aborted")
            and final.get("reason") != "cancelled by the client"
        ):
            breaks.append(
                ("charged what it got", trace, "%s (%s), and charged" % (ending, final.get("reason")))
            )
        if charge is not None:
            entry = charge[1]
            price = entry["prompt"] * budgets.read_price + entry["written"] * budgets.write_price
            if (
                entry["units"] > price
                or entry["units"] < price
                and got[trace]
                and ending == "done"
                and not _capped(entry, req, got[trace])
            ):
                breaks.append(
                    ("charged what it got", trace, "%d units for tokens worth %d" % (entry["units"], price))
                )
            units += entry["units"]
            spent[(charge[0], entry["customer"], entry["period"])] += entry["units"]
    for trace in sorted(set(charges) - set(reqs), key=str):
        breaks.append(("charged what it got", trace, "charged, and never asked for"))
    # one answer's worth is what the dearest answer of the day could cost at the most
    worth = max(
        (
            answers.chain_of(req["messages"])[-1][1] * budgets.read_price
            + req["max_tokens"] * budgets.write_price
            for req in reqs.values()
        ),
        default=0,
    )
    for (front, customer, period), sum_ in sorted(spent.items(), key=str):
        limits = budgets.customers.get(customer, budgets.each_customer) if customer is not None else None
        if (
            limits is not None
            and limits.cap is not None
            and limits.on_cap != "finish"
            and sum_ > int(limits.cap / fronts) + worth
        ):
            breaks.append(
                (
                    "caps",
                    "%s at %s" % (customer, front),
                    "%d units in %s, its part is %d and an answer's worth %d"
                    % (sum_, period, int(limits.cap / fronts), worth),
                )
            )
    return {
        "breaks": breaks,
        "charges": len(charges),
        "units": units,
        "done": sum(final["ending"] == "done" for final in finals.values()),
        "unknown to clients": sum(trace in lost or trace in left for trace in charges),
        "spent": {
            str(customer): sum(value for key, value in spent.items() if key[1] == customer)
            for _, customer, _ in spent
        },
    }


def _capped(entry, req, got):
    """Whether it was ended by its cap: fewer tokens than the answer has."""
    return got < req["max_tokens"]
