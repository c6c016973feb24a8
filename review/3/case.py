"""Writers are cut off: the send of a long prompt does not get there, and the read state waits for it."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import rig  # noqa: E402
import sites  # noqa: E402

CUT, CUT_FOR = 2, 6.0  # of twelve engines, and seconds: a fifth falls silent for 6 s by the page
PROMPT = 246_000  # bytes, 61,500 tokens: the site's longest prompt is one of 61,671
# half of the deadline: 7.2 s and, as it grows twice as much as the target does, 0.294 s for 1,000 tokens
TIMEOUT_MS = 13_000
LONG, EACH = 12, 0.25  # requests with such prompts, and seconds from one to the next
LIMIT = 0.3 + 0.3  # seconds: the settings' limit and what sockets have more
MEASURED = 0.1  # seconds that this measurement may be late


def case(play):
    play.fleet(5, 7)
    node = play.node(sites.bilbao())
    node.start()
    lock, answers = threading.Lock(), {}

    def ask(n, size, timeout_ms):
        id = "%016x" % (0xC000 + n)
        sent, answer = play.ask(node, id, "chat", timeout_ms, rig.body_of(size), key="%016x" % n)
        with lock:
            answers[id] = answer

    for n in range(24):  # short prompts: connections to engines come to be kept
        ask(n, 4000, 6000)
    cut = [play.engines["wr-%d" % n] for n in range(CUT)]
    if rig.TROUBLE:
        for engine in cut:
            engine.cut()
        threading.Timer(CUT_FOR, lambda: [engine.heal() for engine in cut]).start()
    threads = []
    for n in range(100, 100 + LONG):
        threads.append(threading.Thread(target=ask, args=(n, PROMPT, TIMEOUT_MS)))
        threads[-1].start()
        time.sleep(EACH)
    for thread in threads:
        thread.join(40)
    time.sleep(1.0)
    if len(answers) < 24 + LONG:
        raise rig.Hung("only %d requests were answered" % len(answers))
    pinned = []
    for at, reader, _, id, _ in play.record.find("state_held"):
        ends = [line[0] for line in play.record.find("state_taken", id) if line[0] >= at]
        ends += [
            line[0] for line in play.record.find("release_call", id) if line[0] >= at and line[4]["held"]
        ]
        # an attempt that a writer has got whole takes the state at once; one that came whole to a writer that
        # was cut off is taken when that is heard again, and was out all the while
        if rig.TROUBLE and any(play.record.find("attempt", id, engine.id) for engine in cut):
            continue
        held = min(ends, default=play.record.now()) - at
        if held > LIMIT + MEASURED:
            pinned.append(held)
            play.record("judge", "pinned", id, reader=reader, held="%.2f" % held)
    for told in node.log("violation"):
        play.record("node", "violation", told.get("req"), of=told.get("what"), held=told.get("held"))
    words = "%d states were held for over %.1f s with no send that had arrived, the longest for %.2f s" % (
        len(pinned),
        LIMIT,
        max(pinned, default=0),
    )
    return not pinned, words


rig.play(os.path.dirname(os.path.abspath(__file__)), case)
