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
KILLED_AT = 2.0  # seconds after the outage began
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
    node = play.node(
        sites.bilbao()
    )  # its configuration has the list as it was before the drain: it may be old
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
    time.sleep(1.0)
    for id in DRAINING:
        play.engines[id].phase = "leaving"
    agent.tell(*(play.engines[id] for id in DRAINING))
    told = play.record.now()
    time.sleep(2.0)
    began, started = play.record.now(), told
    if rig.TROUBLE:
        agent.up.clear()
        play.record("agent", "silent")
        time.sleep(KILLED_AT)
        node.signal(signal.SIGKILL)
        node.process.wait()
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
    first_process = [at - told for at in sends if at < started and at > told + GRACE + SLACK]
    late = [at - started for at in sends if rig.TROUBLE and at > started + GRACE + SLACK]
    words = (
        "%d sends to draining engines later than %.2f s after the new process began, the last %.2f s after"
        % (
            len(late),
            GRACE + SLACK,
            max(late, default=0),
        )
    )
    if first_process or not rig.TROUBLE:
        words += "; %d later than that after they were told, by the first process" % len(first_process)
    return not late and not first_process, words


rig.play(os.path.dirname(os.path.abspath(__file__)), case)
