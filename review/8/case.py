"""A front node starts anew while discovery is down for long, and its agent had been told of drains: do the
draining engines get work?"""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import deployments  # noqa: E402
import stage as s  # noqa: E402

GRACE = 1.0 + 0.05  # seconds: drain_grace_ms of the site, and 50 ms on sockets
AWAY = 3.0  # seconds for which the front node is away
WATCHED = 42.0  # seconds from its new start
EACH = 0.3  # seconds between requests


def play(stage):
    engines = [
        stage.engine("rd-1", "read", "prefill"),
        stage.engine("rd-2", "read", "prefill"),
        stage.engine("wr-1", "write", "decode"),
        stage.engine("wr-2", "write", "decode"),
    ]
    before = 41, s.members_of(engines)
    agent = s.Agent(*before, stage.note)
    settings = deployments.settings("bilbao-main")
    front = stage.front("n0", settings, before, agent)
    front.wait_ready()
    for n in range(4):
        front.ask("%016x" % (0xB000 + n), "chat", 7200, prompt=600)
    stage.signal(front.process, signal.SIGKILL, "n0")
    front.process.wait()
    agent.tell(s.members_of(engines, {"rd-2": "leaving", "wr-2": "leaving"}))
    stage.note("agent", "has revision 42: rd-2 and wr-2 are leaving")
    time.sleep(1.0)
    if s.TROUBLE:
        agent.silence(True)
        stage.note("agent", "discovery is down")
    time.sleep(AWAY - 1.0)
    front = stage.front("n0", settings, before, agent, port=front.port)
    started = time.monotonic()
    front.wait_ready()
    threads, n = [], 0
    while time.monotonic() < started + WATCHED:
        id = "%016x" % (0xB100 + n)
        threads.append(threading.Thread(target=front.ask, args=(id, "chat", 7200), kwargs={"prompt": 600}))
        threads[-1].start()
        n += 1
        time.sleep(EACH)
    for thread in threads:
        thread.join(15)
    late = [
        call
        for call in stage.store.of("call")
        if call["engine"] in ("rd-2", "wr-2") and call["at"] > started + GRACE
    ]
    if late:
        stage.note("case", "the first came %.1f s after the start" % (late[0]["at"] - started))
    return stage.finish(late, "%d calls at draining engines, of %d requests" % (len(late), n))


if __name__ == "__main__":
    s.main(play, HERE)
