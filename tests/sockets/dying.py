"""A planner that dies at one step of its rounds: `python -m tests.sockets.dying STEP ROUNDS planner …`.

Steps: before (a round was read, nothing decided), decided (nothing written), half (half a frame written),
after (all written).
"""

import os
import sys

from martenrouter.cli.main import main
from martenrouter.planner.serve import Planner


def dies(step, rounds):
    decide, seen = Planner._decide, [0]

    def dying(self, chain, message):
        if message.inbox and message.inbox[0][0] != "look":
            seen[0] += 1
        last = seen[0] >= rounds
        if last and step == "before":
            os._exit(7)
        data = decide(self, chain, message)
        if last and step != "after":
            if step == "half":
                self.sock.sendall(data[: len(data) // 2])
            os._exit(7)
        if last:
            self.sock.sendall(data)
            os._exit(7)
        return data

    Planner._decide = dying
    serve = Planner._serve

    def serving(self, sock):
        self.sock = sock
        serve(self, sock)

    Planner._serve = serving


if __name__ == "__main__":
    dies(sys.argv[1], int(sys.argv[2]))
    sys.argv[1:] = sys.argv[3:]
    main()
