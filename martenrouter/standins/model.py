"""One engine, without I/O or clock: steps, slots, a bounded queue, memory in tokens, kept prefixes, states
that wait, moves that share a port or a link, cold starts. Stand-ins play it on sockets in real time, a
laboratory in virtual time.

Times are whole microseconds, work is in tokens. `advance(now)` plays what has happened by then and returns
events: ("read", id, found), ("fetch", id), ("token", id, index), ("done", id), ("moved", id), ("fell",).
"""

import collections

import msgspec

QUEUED, FETCHING, RUNNING, WAITING, MOVING = "queued", "fetching", "running", "waiting", "moving"


class Spec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What an engine is. The figures are of no real machine: a small fleet that a laptop can play."""

    id: str
    role: str = "both"  # read, write, both
    kind: str = ""
    zone: str = "hall-1"
    cell: int = 0
    listen: str = "127.0.0.1:0"
    seed: int = 1
    slots: int = 8
    queue: int = 32
    memory_tokens: int = 200_000
    kept_tokens: int = 100_000  # of memory that may hold prompts read before
    chunk: int = 2048  # prompt tokens read in one step
    step_us: int = 3000  # a step without work
    read_us: float = 50  # for each prompt token of a step: 20,000 a second
    write_us: float = 200  # for each answer that a step writes a token of
    port_per_s: float = 300_000  # tokens a second that leave within the cell
    link_per_s: float = 150_000  # and to other cells: the engine's part of the cell's link
    report_lag_us: int = 300_000
    usual_answer: int = 24
    start: int = 0  # wall time of the start; 0: long ago, warm
    cold_share: float = 1.0
    warm_within_us: int = 1
    fall_multiple: float = 3
    fall_window_us: int = 3_000_000
    held_at_most_us: int = 30_000_000  # a state that nobody fetches is dropped by the engine itself

    def capacity(self):
        """Tokens of work a second, warm: prompt tokens read, or answer tokens with all slots taken."""
        if self.role == "read":
            return 1e6 / (self.read_us + self.step_us / self.chunk)
        return self.slots * 1e6 / (self.step_us + self.slots * self.write_us)


class Job:
    __slots__ = (
        "id",
        "kind",
        "prompt",
        "chain",
        "answer",
        "left",
        "found",
        "produced",
        "state",
        "at",
        "keeps",
    )

    def __init__(self, id, kind, chain, answer, keeps=False):
        """`kind`: read (prompt only), write (fetches a state first), both (reads and writes). `keeps`: when
        it is done its state waits here, as a read's does."""
        self.id, self.kind, self.chain, self.answer, self.keeps = id, kind, chain, answer, keeps
        self.prompt = chain[-1][1] if chain else 0
        self.left = self.found = self.produced = 0
        self.state, self.at = QUEUED, 0


class Link:
    """Moves that share a rate evenly."""

    def __init__(self, per_s):
        self.per_s, self.moves, self.at, self.slow = per_s, {}, 0, 1.0

    def _spend(self, now):
        if self.moves and now > self.at:
            each = (now - self.at) * self.per_s / self.slow / 1e6 / len(self.moves)
            for id in self.moves:
                self.moves[id] -= each
        self.at = now

    def add(self, now, id, tokens):
        self._spend(now)
        self.moves[id] = tokens

    def drop(self, now, id):
        self._spend(now)
        self.moves.pop(id, None)

    def next_at(self):
        if not self.moves:
            return None
        return (
            self.at
            + max(int(min(self.moves.values()) * len(self.moves) * self.slow * 1e6 / self.per_s), 0)
            + 1
        )

    def landed(self, now):
        ended = []
        while True:
            due = self.next_at()
            if due is None or due > now:
                break
            self._spend(due)
            some = [id for id, left in self.moves.items() if left <= 1e-6]
            for id in some:
                del self.moves[id]
            ended += [(due, id) for id in some]
        self._spend(now)
        return ended


class EngineModel:
    def __init__(self, spec, now):
        self.spec, self.born = spec, now
        self.jobs, self.queue, self.running = {}, collections.deque(), []
        self.kept = collections.OrderedDict()  # hash of a prompt's beginning -> its tokens
        self.links = {"port": Link(spec.port_per_s), "out": Link(spec.link_per_s)}
        self.step_end, self.step_reads, self.step_writes = None, {}, set()
        self.slow, self.hung, self.draining, self.fallen, self.fall_told = 1.0, False, False, False, False
        self._to_fetch = []  # writes that have a place and now need their state
        self.received = collections.deque()  # (time, work) while it warms up
        self.report, self.report_at = (0.0, 0, 0), now
        self.now = now

    # ---- what is asked of it ----

    def submit(self, now, job):
        """ok, full or draining; what is refused never ran."""
        self.advance_clock(now)
        if self.draining:
            return "draining"
        if len(self.queue) >= self.spec.queue:
            return "full"
        self._felt(now, job)
        job.at = now
        self.jobs[job.id] = job
        self.queue.append(job)
        self._start(now)
        return "ok"

    def fetched(self, now, id, tokens):
        """The state of a write has arrived here; what of the prompt it doesn't hold is read here."""
        job = self.jobs.get(id)
        if job and job.state == FETCHING:
            job.state, job.left = RUNNING, max(job.prompt - tokens, 0)
            self._start(now)

    def take(self, now, id):
        """A waiting state goes on at this same engine: its tokens, or None when there is none."""
        job = self.jobs.get(id)
        if job is None or job.state != WAITING:
            return None
        self.drop(now, id)
        return job.prompt + job.produced

    def fetch(self, now, id, near):
        """A writer asks for a waiting state; False when there is none. ("moved", id) says when it has
        left."""
        job = self.jobs.get(id)
        if job is None or job.state != WAITING:
            return False
        job.state = MOVING
        self.links["port" if near else "out"].add(now, id, job.prompt + job.produced)
        return True

    def drop(self, now, id):
        """Cancelled or let go, whatever it was doing. False when it is not here."""
        job = self.jobs.pop(id, None)
        if job is None:
            return False
        if job in self.queue:
            self.queue.remove(job)
        if job in self.running:
            self.running.remove(job)
        self.step_reads.pop(id, None)
        for link in self.links.values():
            link.drop(now, id)
        self._start(now)
        return True

    def forget(self):
        """Kept text is lost; what runs is not."""
        self.kept.clear()

    def slow_links(self, now, factor):
        for link in self.links.values():
            link._spend(now)
        self.links["out"].slow = factor

    def load(self, now):
        """(memory share, reqs held, queued) as last reported: reports lag."""
        if now - self.report_at >= self.spec.report_lag_us:
            self.report = (self.held() / self.spec.memory_tokens, len(self.jobs), len(self.queue))
            self.report_at = now
        return self.report

    def held(self):
        return sum(job.prompt + job.produced for job in self.jobs.values() if job.state != QUEUED)

    def warmth(self, now):
        spec, age = self.spec, now - self.born
        if not spec.start or age >= spec.warm_within_us:
            return 1.0
        return 1 - (1 - spec.cold_share) * (1 - age / spec.warm_within_us)

    # ---- time ----

    def next_at(self):
        if self.fallen:
            return None if self.fall_told else self.now
        if self.hung:
            return None
        times = [
            time
            for time in (self.step_end, *(link.next_at() for link in self.links.values()))
            if time is not None
        ]
        return min(times, default=None)

    def wants_states(self):
        """Whether writes have taken their places and `advance` would tell whose states to fetch."""
        return bool(self._to_fetch)

    def advance_clock(self, now):
        self.now = max(self.now, now)

    def advance(self, now):
        events = []
        self.advance_clock(now)
        if self.fallen and not self.fall_told:
            self.fall_told = True
            events.append(("fell",))
        if self.hung or self.fallen:
            return events
        for link in self.links.values():
            for at, id in link.landed(now):
                self.jobs.pop(id, None)
                events.append(("moved", id))
        while self.step_end is not None and self.step_end <= now:
            at = self.step_end
            self._finish_step(at, events)
            self._start(at)
        for job in [job for job in self.jobs.values() if job.state == WAITING]:
            if now - job.at > self.spec.held_at_most_us:
                self.drop(now, job.id)
        self._start(now)
        events += [("fetch", job.id) for job in self._to_fetch]
        self._to_fetch = []
        return events

    # ---- steps ----

    def _felt(self, now, job):
        """A cold engine that is sent more than it can do for long falls over, and stays down."""
        if self.warmth(now) == 1:
            return
        spec = self.spec
        self.received.append((now, work_of(spec, job)))
        while self.received and self.received[0][0] <= now - spec.fall_window_us:
            self.received.popleft()
        most = spec.fall_multiple * spec.capacity() * self.warmth(now) * spec.fall_window_us / 1e6
        # one req alone never fells an engine: there would be no way to begin
        if len(self.received) > 1 and sum(work for _, work in self.received) > most:
            self.fallen = True

    def _start(self, now):
        """Takes from the queue what fits, and begins a step if none is on."""
        spec = self.spec
        while self.queue and len(self.running) < spec.slots and not self.hung:
            job = self.queue[0]
            if self.held() + job.prompt + job.produced > spec.memory_tokens and (self.running or self.held()):
                break
            self.queue.popleft()
            self.running.append(job)
            if job.kind == "write" and not job.produced and not job.left:
                job.state = FETCHING  # one that was preempted reads anew what it had
                self._to_fetch.append(job)
            else:
                job.state = RUNNING
                job.found = self._found(job) if job.kind != "write" else 0
                job.left = job.left or max(job.prompt - job.found, 1)
        if self.step_end is not None:
            return
        budget, reads, writes = spec.chunk, {}, set()
        for job in self.running:
            if job.state != RUNNING:
                continue
            if job.left:
                reads[job.id] = min(job.left, budget)
                budget -= reads[job.id]
            else:
                writes.add(job.id)
        if any(reads.values()) or writes:
            work = spec.step_us + sum(reads.values()) * spec.read_us + len(writes) * spec.write_us
            self.step_reads, self.step_writes = reads, writes
            self.step_end = now + max(int(work * self.slow / self.warmth(now)), 1)

    def _finish_step(self, at, events):
        self.step_end, reads = None, self.step_reads
        self.step_reads = {}
        for job in list(self.running):
            if job.state != RUNNING:
                continue
            if job.left:
                job.left -= reads.get(job.id, 0)
                if job.left or job.id not in reads:
                    continue
                if job.kind != "write":
                    self._keep(job)
                if job.kind == "read":
                    self.running.remove(job)
                    job.state, job.at = WAITING, at
                    events.append(("read", job.id, job.found))
                continue
            if job.id not in self.step_writes:
                continue  # it came while the step was on
            events.append(("token", job.id, job.produced))
            job.produced += 1
            if job.produced >= job.answer:
                self.running.remove(job)
                if job.keeps:
                    job.state, job.at = WAITING, at
                else:
                    del self.jobs[job.id]
                events.append(("done", job.id))
        # memory run out: the newest answer goes back into the queue and is read anew
        while self.held() > self.spec.memory_tokens and len(self.running) > 1:
            job = next(
                (job for job in reversed(self.running) if job.kind != "read" and job.state == RUNNING), None
            )
            if job is None:
                break
            self.running.remove(job)
            job.state, job.left = QUEUED, job.prompt + job.produced
            self.queue.appendleft(job)

    def _found(self, job):
        """Tokens of the prompt's beginning that are kept; at least the last one is read."""
        for hash, tokens in reversed(job.chain):
            if hash in self.kept:
                self.kept.move_to_end(hash)
                return min(tokens, job.prompt - 1)
        return 0

    def _keep(self, job):
        before = 0
        for hash, tokens in job.chain:
            self.kept[hash] = tokens - before  # what it holds beyond the beginning before it
            self.kept.move_to_end(hash)
            before = tokens
        total = sum(self.kept.values())
        while total > self.spec.kept_tokens and self.kept:
            total -= self.kept.popitem(last=False)[1]


def work_of(spec, job):
    """Tokens of work in a job, in the unit of the engine's capacity."""
    return job.prompt if spec.role == "read" else job.answer
