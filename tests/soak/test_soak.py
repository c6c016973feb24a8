"""One soak of real processes on a fixed seed, and each invariant seen to be caught by a mutation."""

import subprocess
import sys
import unittest

from tests.soak.fleet import ROOT

NODES = "10"
KEPT = 701  # a seed whose plan has stops, reloads, clock steps and failing calls at once
DRAINS = 1114  # node 5 is killed, told to stop during an outage of its agent, and held by turns; d1 drains
HELD = 2006  # a stop with signals in series, pauses and links that are reset, of twelve nodes
# mutation -> (a seed whose plan shows it, what the oracle says)
CAUGHT = {
    "drops_answers": (700, "got no answer"),
    "sends_to_draining": (700, "which drains"),
    "holds_states": (700, "neither taken nor let go of"),
    "floods_cold_servers": (700, "came back cold"),
    "repeats_effects": (701, "was begun again"),
    "counts_untaken_sends": (783, "neither taken nor let go of"),
}
AT_ONCE = 2  # soaks beside each other: more would measure the machine


class Soaks(unittest.TestCase):
    def run_at_once(self, calls):
        """[(exit code, output)] of soaks that run beside each other."""
        commands = [
            [sys.executable, "-W", "ignore", "-m", "tests.soak.soak", str(seed), "1", "--nodes", NODES, *more]
            for seed, more in calls
        ]
        started = [
            subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
            for command in commands
        ]
        outputs = [(process.communicate(timeout=90)[0], process.returncode) for process in started]
        return [(code, output) for output, code in outputs]

    def test_a_seed_keeps_every_invariant(self):
        [(code, output)] = self.run_at_once([(KEPT, ())])
        self.assertEqual(code, 0, output)

    # Seen once: a send to a server that drains, with an agent silent through a restart.
    def test_a_seed_with_a_drain_an_outage_and_a_restart_keeps_every_invariant(self):
        [(code, output)] = self.run_at_once([(DRAINS, ())])
        self.assertEqual(code, 0, output)

    # Seen once, beside much else: a state that nothing took or released, by a machine that was late itself.
    def test_a_seed_with_a_state_that_was_held_once_keeps_every_invariant(self):
        [(code, output)] = self.run_at_once([(HELD, ("--nodes", "12"))])
        self.assertEqual(code, 0, output)

    def test_mutations_are_caught(self):
        names = list(CAUGHT)
        for first in range(0, len(names), AT_ONCE):
            batch = names[first : first + AT_ONCE]
            results = self.run_at_once([(CAUGHT[name][0], ("--mutation", name)) for name in batch])
            for name, (code, output) in zip(batch, results):
                with self.subTest(mutation=name):
                    self.assertEqual(code, 1, output)
                    self.assertIn(CAUGHT[name][1], output)
