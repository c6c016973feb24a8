"""Fronts to compare with: `python -m bench.fronts NAME edge …` runs the edge with one choice replaced."""
import sys

from martenrouter.cli.main import main
from martenrouter.decisions.conversations import Conversations
from martenrouter.decisions.takeover import Takeover


def holds_to_its_writer():
    """Keeps the writer's state for the whole pause and goes on nowhere else (this breaks the release limit)."""
    init = Conversations.__init__

    def long_hold(self, settings):
        init(self, settings)
        self.hold_for = 10**9
    Conversations.__init__ = long_hold
    Conversations.where = lambda self, talk, engine, suspected: "here" if talk.holder and engine else "anew"
    Conversations.may_rewrite = lambda self, now, talk: False
    Conversations.ROOM = 0


def always_anew():
    """Lets the state go at once and reads prompt, answer and results anew."""
    step_ended = Conversations.step_ended
    Conversations.step_ended = lambda self, now, talk, engine, born, held, room, calls: step_ended(
        self, now, talk, engine, born, False, room, calls)


def waits_for_its_planner():
    """Takes over after three seconds only."""
    Takeover.SILENT = 3_000_000


def as_built():
    pass


if __name__ == "__main__":
    globals()[sys.argv[1]]()
    sys.argv[1:] = sys.argv[2:]
    main()
