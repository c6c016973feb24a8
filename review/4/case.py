"""Discovery is down and a front node is killed: the new process serves by an old list, and sends to engines
that its agent has as draining."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import rig  # noqa: E402
import sites  # noqa: E402

DOWN_FOR = 8.0  # seconds: the outage of the page's `herd` day
TOLD_AFTER, SILENT_AFTER = 0.5, 1.0  # seconds after the kill: the drain at the agent, then the outage
DEAD_FOR = 3.0  # seconds: front nodes come back after 1 to 8 s
GRACE, SLACK = 1.0, 0.05  # seconds: the settings' grace, and what sockets have more
DRAINING = ("rd-0", "rd-1", "wr-0")  # of twelve engines
EACH, FOR = 0.05, 11.0  # seconds from one request to the next, and for how long after the outage began


class Discovery(rig.Agent):
    """Has what it was told before the outage; is silent during it, and answers what waits when it is over."""

    def __init__(self, play):
        self.up = threading.Event()
        self.up.set()
        super().__init__(play)

    def _serve(self, sock):
        self.record("agent", "called", up=self.up.is_set())
        self.up.wait()
        super()._serve(sock)

    def _send(self, data):
        if self.up.is_set():
            super()._send(data)


def case(play):
    play.fleet(5, 7)
    play.agent.server.close()
    agent = play.agent = Discovery(play)
    node = play.node(sites.bilbao())  # with the list that it last has when it is killed
    node.start()
    ended, threads = threading.Event(), []

    def ask(n):
        id = "%016x" % (0xE000 + n)
        try:
            play.ask(node, id, "chat", 6000, rig.body_of(4000), key="%016x" % n)
        except OSError:
            pass  # it is down just now: the distributor goes on sending to a dead front node

    def load():
        n = 0
        while not ended.is_set():
            n += 1
            threads.append(threading.Thread(target=ask, args=(n,)))
            threads[-1].start()
            time.sleep(EACH)

    loader = threading.Thread(target=load)
    loader.start()
    time.sleep(2.0)
    if rig.TROUBLE:
        node.signal(signal.SIGKILL)
        node.process.wait()
    killed = play.record.now()
    time.sleep(TOLD_AFTER)
    for id in DRAINING:
        play.engines[id].phase = "leaving"
    agent.tell(*(play.engines[id] for id in DRAINING))
    told = started = play.record.now()
    time.sleep(max(killed + SILENT_AFTER - play.record.now(), 0))
    began = play.record.now()
    if rig.TROUBLE:
        agent.up.clear()
        play.record("agent", "silent")
        time.sleep(max(killed + DEAD_FOR - play.record.now(), 0))
        started = play.record.now()
        node.start()
        time.sleep(max(began + DOWN_FOR - play.record.now(), 0))
        agent.up.set()
        play.record("agent", "answers_again")
    time.sleep(max(began + FOR - play.record.now(), 0))
    ended.set()
    loader.join()
    for thread in threads:
        thread.join(20)
    sends = [line[0] for line in play.record.find("attempt") if line[1] in DRAINING and line[0] > told]
    late = [at - started for at in sends if at > started + GRACE + SLACK]
    since = "the new process began" if rig.TROUBLE else "the drain was told"
    words = "%d sends to draining engines later than %.2f s after %s, the last %.2f s after" % (
        len(late),
        GRACE + SLACK,
        since,
        max(late, default=0),
    )
    return not late, words


rig.play(os.path.dirname(os.path.abspath(__file__)), case)
