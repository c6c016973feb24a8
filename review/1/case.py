"""Bad clients send heads without end; the requests of usual clients get their final answer too late."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import rig  # noqa: E402
import sites  # noqa: E402

BAD, BAD_FOR = 200, 12  # clients, and seconds that they come again as soon as they are turned away
USUAL, EACH = 40, 0.25  # requests, and seconds from one to the next: four a second
TIMEOUT_MS = 2500  # of 4 s: a client gives up a try after 50 to 100% of the deadline
ALLOWED = 0.5 + 0.05  # seconds after its time in which an answer only earns nothing, and sockets' slack


def case(play):
    play.fleet(5, 7)
    node = play.node(sites.bilbao_first())
    node.start()
    asked, lock = [], threading.Lock()

    def ask(n):
        id = "%016x" % (0xA000 + n)
        try:
            sent, answer = play.ask(node, id, "chat", TIMEOUT_MS, rig.body_of(4000), key="%016x" % n)
        except OSError as why:
            play.record("client", "no_connection", id, why=why)
            return
        with lock:
            asked.append((id, sent, answer))

    for n in range(8):
        ask(n)
    if rig.TROUBLE:
        play.helper("bad_heads.py", "127.0.0.1", node.port, BAD, BAD_FOR)
        play.record("bad", "clients_begin", clients=BAD)
        time.sleep(0.5)
    threads = [threading.Thread(target=ask, args=(100 + n,)) for n in range(USUAL)]
    for thread in threads:
        thread.start()
        time.sleep(EACH)
    for thread in threads:
        thread.join(60)
    if len(asked) < USUAL:
        raise rig.Hung("only %d requests were sent" % len(asked))
    lost = []
    for id, sent, answer in asked:
        # a stream that has begun has no deadline any more: its first event counts
        final = answer.first_at if answer.status == 200 else answer.at
        late = final - sent - TIMEOUT_MS / 1000
        if answer.status is None or late > ALLOWED:
            lost.append(late)
            play.record("judge", "lost", id, status=answer.status, after_its_time="%.2f" % late)
    for told in node.log("load"):
        play.record("node", "load", loop_late_most=told["loop_late_most"], clients=told["clients"])
    served = sum(answer.status == 200 for _, _, answer in asked)
    words = "%d of %d requests lost, the latest answered %.2f s after its time; %d served" % (
        len(lost),
        len(asked),
        max(lost, default=0),
        served,
    )
    return not lost, words


rig.play(os.path.dirname(os.path.abspath(__file__)), case)
