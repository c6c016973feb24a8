"""The judge: reads traffic records alone and says of each rule kept or broken, with the req, the time and the
message.

It believes what was seen at the sockets of clients, engines and the list service, and the driver's word for
what was killed when; a front's own record is never read. Slack is given for the way between two sockets only:
a message is recorded by its receiver, later than it was sent.
"""

import collections

import msgspec
from hdrh.histogram import HdrHistogram

from martenrouter.standins import answers

# microseconds from a send to the receiver's record on a machine that is busy with a dozen processes
TRANSIT = 100_000
LAG_AT_MOST = (
    1_000_000  # microseconds granted for a machine that stood still, as other processes than fronts saw it
)
DRAIN_GRACE = 1_000_000
RULES = (
    "one answer",
    "no double effect",
    "drains kept",
    "cold spared",
    "nothing pinned",
    "tokens right",
    "tools once",
)


class Judge:
    def __init__(self, records):
        self.records = [record for record in records if not _of_front(record)]
        self.breaks = []  # (rule, req, time, message)
        self.by_ev = collections.defaultdict(list)
        for record in self.records:
            self.by_ev[record["ev"]].append(record)
        scenario = self.by_ev["scenario"]
        self.told = scenario[0] if scenario else {"groups": [], "engines": {}, "release_within": 300_000}
        self.groups = {group["name"]: group for group in self.told["groups"]}
        self.start = self.records[0]["t"] if self.records else 0
        self.reqs = {record["trace"]: record for record in self.by_ev["req_out"]}
        self.finals = _by(self.by_ev["final_in"], "trace")
        self.forwards = sorted(self.by_ev["forward_in"], key=lambda record: record["t"])
        for forward in self.forwards:
            forward["trace_id"] = (
                forward["trace"].split("-")[1] if forward["trace"].count("-") == 3 else forward["trace"]
            )
            forward["front"] = forward["forward"].rsplit("-", 3)[0]
        self.of_trace = _by(self.forwards, "trace_id")
        self.status = {record["forward"]: record for record in self.by_ev["status_out"]}

    def slack(self, since, until):
        """Microseconds granted to what happened between: the way, and for how long stand-ins were not run
        just then."""
        lag = max(
            (
                record["late"]
                for record in self.by_ev["lag"]
                if since - 1_000_000 <= record["t"] <= until + 1_000_000
            ),
            default=0,
        )
        return TRANSIT + min(2 * lag, LAG_AT_MOST)  # two hops: the front's turn and the other end's

    def broken(self, rule, req, t, message):
        self.breaks.append((rule, req, t, message))

    def judge(self):
        self.one_answer()
        self.no_double_effect()
        self.drains_kept()
        self.cold_spared()
        self.nothing_pinned()
        self.tokens_right()
        self.tools_once()
        return self

    # ---- rule 1 ----

    def one_answer(self):
        lost = {record["trace"]: record for record in self.by_ev["conn_lost"]}
        left = {record["trace"]: record for record in self.by_ev["left"]}
        for trace, req in self.reqs.items():
            finals = self.finals.get(trace, [])
            if len(finals) > 1:
                self.broken(
                    "one answer",
                    trace,
                    finals[1]["t"],
                    "%d final answers: %s" % (len(finals), ", ".join(final["ending"] for final in finals)),
                )
            if not finals:
                gone = lost.get(trace)
                if trace in left or gone and self._front_was_down(req["front"], req["t"], gone["t"]):
                    continue
                self.broken(
                    "one answer",
                    trace,
                    req["t"],
                    "no final answer from %s (%s)"
                    % (
                        req["front"],
                        "its connection was lost: " + gone["why"] if gone else "connection open",
                    ),
                )
                continue
            final = finals[0]
            deadline = req["t"] + int(req["deadline_ms"] * 1000)
            if final["t"] > max(deadline, req["t"]) + self.slack(deadline, final["t"]):
                self.broken(
                    "one answer",
                    trace,
                    final["t"],
                    "%s came %d ms after the deadline" % (final["ending"], (final["t"] - deadline) // 1000),
                )
            if final["ending"] == "error":
                self.broken(
                    "one answer",
                    trace,
                    final["t"],
                    "the answer is neither done, pushed back nor aborted: %s" % final.get("reason"),
                )
            for forward in self.of_trace.get(trace, ()):
                if forward["t"] > final["t"] + self.slack(final["t"], forward["t"]):
                    self.broken(
                        "one answer",
                        trace,
                        forward["t"],
                        "forward %s to %s came %d ms after the final answer"
                        % (forward["forward"], forward["who"], (forward["t"] - final["t"]) // 1000),
                    )
        for token in self.by_ev["token_in"]:
            finals = self.finals.get(token["trace"])
            if finals and token["t"] > finals[0]["t"]:
                self.broken(
                    "one answer",
                    token["trace"],
                    token["t"],
                    "token %d after the final answer" % token["index"],
                )
        for call in self.by_ev["call_in"]:
            finals = self.finals.get(call["trace"])
            if finals and call["t"] > finals[0]["t"]:
                self.broken(
                    "one answer",
                    call["trace"],
                    call["t"],
                    "tool call %s after the final answer" % call["call"],
                )
        for final in self.by_ev["final_in"]:
            if final["trace"] not in self.reqs and final["id"] is not None:
                self.broken(
                    "one answer", str(final["id"]), final["t"], "an answer to a call that was never made"
                )

    def _front_was_down(self, front, since, until):
        """Whether the front was killed or stopped while the req was open at it."""
        return any(
            record["front"] == front and since - TRANSIT <= record["t"] <= until + TRANSIT
            for ev in ("front_killed", "front_stop")
            for record in self.by_ev[ev]
        )

    # ---- rule 2 ----

    def _proven(self, forward, by):
        """Whether what the engine said by the time `by` proves that this forward ran nothing."""
        status = self.status.get(forward["forward"])
        return status is not None and status.get("ran") is False and status["t"] <= by

    def no_double_effect(self):
        for trace, req in self.reqs.items():
            group = self.groups.get(req["group"], {})
            effect = group.get("effect", "replayable")
            if effect == "replayable":
                continue
            writes = [forward for forward in self.of_trace.get(trace, ()) if forward["kind"] != "read"]
            for i, later in enumerate(writes):
                # a leg that follows a pause goes on, it repeats nothing; within a leg a forward repeats those
                # before
                earlier = [
                    one
                    for one in writes[:i]
                    if _leg(one) == _leg(later) and not self._proven(one, later["t"])
                ]
                if not earlier:
                    continue
                if effect == "non-replayable":
                    self.broken(
                        "no double effect",
                        trace,
                        later["t"],
                        "non-replayable: forward %s to %s while %s may have "
                        "run at %s"
                        % (later["forward"], later["who"], earlier[0]["forward"], earlier[0]["who"]),
                    )
                    continue
                scope, first = group.get("repeat_scope", "all"), earlier[0]
                if scope != "all" and self._place(first["who"], scope) != self._place(later["who"], scope):
                    self.broken(
                        "no double effect",
                        trace,
                        later["t"],
                        "keyed: forward %s to %s, outside the %s of %s where "
                        "it may have run" % (later["forward"], later["who"], scope, first["who"]),
                    )
                if later["t"] - first["t"] > group.get("repeat_window_ms", 0) * 1000 + TRANSIT:
                    self.broken(
                        "no double effect",
                        trace,
                        later["t"],
                        "keyed: forward %s came %d ms after the first, past "
                        "the window" % (later["forward"], (later["t"] - first["t"]) // 1000),
                    )
            for final in self.finals.get(trace, ()):
                may = [one for one in writes if not self._proven(one, final["t"])]
                if (
                    final["ending"] == "pushed back"
                    and may
                    and not (effect == "keyed" and group.get("repeat_scope", "all") == "all")
                ):
                    self.broken(
                        "no double effect",
                        trace,
                        final["t"],
                        "%s: pushed back while %s may have run at %s"
                        % (effect, may[0]["forward"], may[0]["who"]),
                    )

        for ran in self.by_ev["tool_ran"]:
            finals = self.finals.get(ran["trace"], ())
            if not ran["repeatable"] and finals and finals[0]["ending"] == "pushed back":
                self.broken(
                    "no double effect",
                    ran["trace"],
                    finals[0]["t"],
                    "pushed back after %s was called, which has effects" % ran["name"],
                )

    def _place(self, engine, scope):
        return self.told["engines"].get(engine, {}).get(scope)

    # ---- rule 3 ----

    def drains_kept(self):
        told, changes = {}, sorted(self.by_ev["list_out"], key=lambda record: record["t"])
        spans = collections.defaultdict(list)  # (front, engine) -> [[since, until]]
        for news in changes:
            front, named = news["front"], set()
            for id, phase, _ in news["entries"]:
                named.add(id)
                self._phase(told, spans, front, id, phase, news["t"])
            if news["scope"] == "whole":
                for other, id in [key for key in told if key[0] == front and key[1] not in named]:
                    self._phase(told, spans, front, id, "gone", news["t"])
        for forward in self.forwards:
            for since, until in spans.get((forward["front"], forward["who"]), ()):
                if since + DRAIN_GRACE + self.slack(since, forward["t"]) < forward["t"] < until:
                    self.broken(
                        "drains kept",
                        forward["trace_id"],
                        forward["t"],
                        "forward %s to %s, %d ms after %s was told "
                        "that it drains or is gone"
                        % (
                            forward["forward"],
                            forward["who"],
                            (forward["t"] - since) // 1000,
                            forward["front"],
                        ),
                    )

    def _phase(self, told, spans, front, id, phase, t):
        key = front, id
        before, told[key] = told.get(key, "up"), phase
        if before == "up" and phase != "up":
            spans[key].append([t, float("inf")])
        elif before != "up" and phase == "up" and spans[key]:
            spans[key][-1][1] = t

    # ---- rule 4 ----

    def cold_spared(self):
        for fell in self.by_ev["fell"]:
            self.broken("cold spared", fell["who"], fell["t"], "%s fell over" % fell["who"])
        by_engine = _by(self.forwards, "who")
        for start in self.by_ev["started"]:
            if not start["cold"]:
                continue
            recent, sent = collections.deque(), 0
            for forward in by_engine.get(start["who"], ()):
                age = forward["t"] - start["born"]
                if not 0 <= age < start["warm_within"]:
                    continue
                recent.append(forward)
                sent += forward["work"]
                while recent[0]["t"] <= forward["t"] - start["fall_window"]:
                    sent -= recent.popleft()["work"]
                warmth = 1 - (1 - start["cold_share"]) * (1 - age / start["warm_within"])
                most = start["fall_multiple"] * start["capacity"] * warmth * start["fall_window"] / 1e6
                if len(recent) > 1 and sent > most:
                    self.broken(
                        "cold spared",
                        forward["trace_id"],
                        forward["t"],
                        "%s was sent %d tokens of work in a window "
                        "that stands %d" % (start["who"], sent, most),
                    )

    # ---- rule 5 ----

    def nothing_pinned(self):
        limit = self.told["release_within"]
        ends = collections.defaultdict(list)  # read forward -> (time, what)
        for record in self.by_ev["let_go"] + self.by_ev["fetched"]:
            ends[record["forward"]].append((record["t"], record["ev"]))
        writes = _by([forward for forward in self.forwards if forward.get("state")], "state")
        over = {}
        for record in (
            self.by_ev["status_out"]
            + self.by_ev["dropped"]
            + self.by_ev["done_out"]
            + self.by_ev["reset_out"]
        ):
            over.setdefault(record["forward"], record["t"])
        end = self.records[-1]["t"] if self.records else 0
        deaths = _by(
            self.by_ev["engine_killed"] + [{**fell, "engine": fell["who"]} for fell in self.by_ev["fell"]],
            "engine",
        )
        deaf = [(record["who"], record["t"]) for record in self.by_ev["control"] if record.get("half_open")]
        for held in self.by_ev["held"]:
            read, engine = held["forward"], held["who"]
            stops = [t for t, _ in ends[read] if t >= held["t"] - TRANSIT]
            # a kill is recorded before it is done: what was written in between died with its process
            stops += [
                max(record["t"], held["t"])
                for record in deaths.get(engine, ())
                if record["t"] >= held["t"] - TRANSIT
            ]
            stops += [
                max(record["t"], held["t"])
                for record in self.by_ev["front_killed"] + self.by_ev["front_stopped"]
                if read.startswith(record["front"] + "-") and record["t"] >= held["t"] - TRANSIT
            ]
            stops += [max(t, held["t"]) for who, t in deaf if who == engine]
            stop = min(stops, default=end)
            # spans in which no forward of the req was out: until the next write that takes it, and after
            # one's end
            free = held["t"]
            for write in sorted(writes.get(read, ()), key=lambda record: record["t"]):
                if write["t"] >= stop:
                    break
                self._span(held, free, write["t"], limit)
                free = over.get(write["forward"], end) if write["who"] not in deaths else stop
                free = min(free, stop)
            self._span(held, free, stop, limit)

    def _span(self, held, since, until, limit):
        if until - since > limit + TRANSIT and until - since > limit + self.slack(
            since, min(until, since + limit)
        ):
            trace = next(
                (forward["trace_id"] for forward in self.forwards if forward["forward"] == held["forward"]),
                "?",
            )
            self.broken(
                "nothing pinned",
                trace,
                since + limit,
                "the state of %s was held at %s for %d ms with no forward "
                "out" % (held["forward"], held["who"], (until - since) // 1000),
            )

    # ---- what was answered ----

    def tokens_right(self):
        """Tokens come in order, each once, and are what the stand-ins' function gives for the prompt and the
        tools' results, whichever engines wrote them."""
        by_trace = _by(self.by_ev["token_in"], "trace")
        results = {}
        for ran in self.by_ev["tool_ran"]:
            results[(ran["trace"], ran["call"])] = ran["text"]
        for failed in self.by_ev["call_failed"]:
            results[(failed["trace"], failed["call"])] = "error: " + failed["reason"]
        calls = _by(self.by_ev["call_in"], "trace")
        for trace, req in self.reqs.items():
            tokens, count = by_trace.get(trace, ()), 0
            right, whole = self._right(req, calls.get(trace, ()), results)
            for message in tokens:
                if message["index"] != count:
                    self.broken(
                        "tokens right",
                        trace,
                        message["t"],
                        "index %d came where %d was due" % (message["index"], count),
                    )
                    break
                until = count + len(message["tokens"])
                if message["tokens"] != right[count:until] and (
                    whole or message["tokens"][: len(right) - count] != right[count:until]
                ):
                    self.broken(
                        "tokens right",
                        trace,
                        message["t"],
                        "tokens from index %d are not those of the prompt" % count,
                    )
                    break
                count = until
            else:
                final = next(iter(self.finals.get(trace, ())), None)
                capped = (
                    final and final.get("finish") == "budget"
                )  # ended by a cap: what came is a beginning of it
                if final and final["ending"] == "done" and not capped and (count != len(right) or not whole):
                    self.broken(
                        "tokens right",
                        trace,
                        final["t"],
                        "done after %d tokens of %d%s"
                        % (count, len(right), "" if whole else ", tools that were not called were due"),
                    )

    def _right(self, req, calls, results):
        """(tokens, whether they are all): the answer as the function gives it, as far as results are
        known."""
        engine = next(iter(self.told["engines"].values()), {"seed": 7, "usual": 24})
        messages, left, right, step = list(req["messages"]), req["max_tokens"], [], 0
        while True:
            tokens, asked, _ = answers.plan(
                engine["seed"], messages, left, engine["usual"], req.get("tools") or ()
            )
            right += tokens
            if not asked:
                return right, True
            left, told = max(left - len(tokens), 1), []
            for i, (name, arguments) in enumerate(asked):
                call = next(
                    (
                        call
                        for call in calls
                        if call["call"].startswith("%d.%d." % (step, i))
                        and (call["name"], call["arguments"]) == (name, arguments)
                    ),
                    None,
                )
                result = results.get((req["trace"], call["call"])) if call else None
                if result is None:
                    return right, False
                told.append({"role": "tool", "tool_call_id": "call_%d" % i, "content": result})
            messages += [
                answers.said("".join(tokens), [(name, _json(arguments)) for name, arguments in asked]),
                *told,
            ]
            step += 1

    def tools_once(self):
        """No tool is run twice for a call, and no call is asked twice but as the same one, marked."""
        for trace, ran in _by(self.by_ev["tool_ran"], "trace").items():
            seen = set()
            for run in ran:
                key = run["name"], _json(run["arguments"])
                if key in seen:
                    self.broken("tools once", trace, run["t"], "%s was run twice with %s" % key)
                seen.add(key)
        for trace, calls in _by(self.by_ev["call_in"], "trace").items():
            seen = set()
            for call in calls:
                if call["call"] in seen and not call["again"]:
                    self.broken(
                        "tools once",
                        trace,
                        call["t"],
                        "call %s was asked twice as if it were new" % call["call"],
                    )
                seen.add(call["call"])

    # ---- figures ----

    def figures(self):
        endings = collections.Counter(
            finals[0]["ending"] for trace, finals in self.finals.items() if trace in self.reqs
        )
        endings["no answer owed"] = sum(trace not in self.finals for trace in self.reqs)
        first, seen = HdrHistogram(1, 120_000_000, 3), set()
        for token in self.by_ev["token_in"]:
            if token["trace"] in self.reqs and token["trace"] not in seen:
                seen.add(token["trace"])
                first.record_value(max(token["t"] - self.reqs[token["trace"]]["t"], 1))
        late = sum(1 for trace in seen if self._late(trace))
        done = {trace for trace, finals in self.finals.items() if finals[0]["ending"] == "done"}
        trace_of = {forward["forward"]: forward["trace_id"] for forward in self.forwards}
        read = sum(record["read"] for record in self.by_ev["held"])
        in_vain = sum(
            record["read"] for record in self.by_ev["held"] if trace_of.get(record["forward"]) not in done
        )
        written = sum(record["tokens"] for ev in ("done_out", "reset_out") for record in self.by_ev[ev])
        written_vain = sum(
            record["tokens"]
            for ev in ("done_out", "reset_out")
            for record in self.by_ev[ev]
            if trace_of.get(record["forward"]) not in done
        )
        reasons = collections.Counter(
            "%s: %s" % (finals[0]["ending"], finals[0].get("reason"))
            for finals in self.finals.values()
            if finals[0]["ending"] != "done"
        )
        return {
            "machine lag ms": max((record["late"] for record in self.by_ev["lag"]), default=0) / 1000,
            "reqs": len(self.reqs),
            "endings": dict(endings),
            "late first tokens": late,
            "reasons": dict(sorted(reasons.items())),
            "first token ms": {
                name: first.get_value_at_percentile(p) / 1000 if seen else None
                for name, p in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100))
            },
            "forwards a req": round(len(self.forwards) / max(len(self.of_trace), 1), 2),
            "prompt tokens": {"read": read, "in vain": in_vain},
            "answer tokens": {"written": written, "in vain": written_vain},
            "tools": {
                "called": len(self.by_ev["tool_ran"]),
                "asked again": sum(call["again"] for call in self.by_ev["call_in"]),
                "failed": len(self.by_ev["call_failed"]),
                "rejoined": len(self.by_ev["rejoined"]),
            },
        }, first

    def _late(self, trace):
        req = self.reqs[trace]
        group = self.groups.get(req["group"], {})
        prompt = sum(answers.tokens_of(message.get("content") or "") for message in req["messages"])
        target = group.get("target_ms", 1000) * 1000 + group.get("target_per_1000_prompt_ms", 0) * prompt
        first = next(token for token in self._tokens_of(trace))
        return first["t"] - req["t"] > target

    def _tokens_of(self, trace):
        if not hasattr(self, "_token_index"):
            self._token_index = _by(self.by_ev["token_in"], "trace")
        return self._token_index.get(trace, [])


def _json(value):
    return msgspec.json.encode(value).decode()


def _leg(forward):
    """The leg of a req that a forward belongs to: its id without the forward's number."""
    return forward["forward"].rsplit("-", 1)[0]


def _by(records, field):
    groups = collections.defaultdict(list)
    for record in records:
        groups[record.get(field)].append(record)
    return groups


def _of_front(record):
    return record["ev"] in (
        "req_in",
        "req_out_front",
        "list_taken",
        "forward_out",
        "let_go_out",
        "client_in",
    ) or (str(record["who"]).startswith("front"))
