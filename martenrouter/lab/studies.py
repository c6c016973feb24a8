"""Many runs: each day in a process of its own, spread over workers, kept as they end, gone on with after a
kill.

A build is named by a policy (`as-built`, `random`, …), a git revision (`rev:HEAD~3`, played from a work tree
of its own) or settings (`set:{…}`, laid over the scenario's), and may combine them: `rev:HEAD~3,two-choices`.
"""

import concurrent.futures
import os
import subprocess
import sys
import tempfile

import msgspec

from martenrouter.lab import results
from martenrouter.lab.emulator.policies import POLICIES
from martenrouter.lab.scenario import Scenario
from martenrouter.settings.load import BadSettings

HERE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TRIES = 2  # a worker that died is started once more: the run it gives is the same


class Build(msgspec.Struct, frozen=True):
    name: str
    policy: str
    directory: str
    settings: dict = {}


class Trees:
    """Work trees of git revisions, made when first needed and removed in the end."""

    def __init__(self):
        self.made, self.holder = {}, tempfile.TemporaryDirectory(prefix="lab-trees-")

    def of(self, revision):
        if revision not in self.made:
            path = os.path.join(self.holder.name, "tree-%d" % len(self.made))
            done = subprocess.run(
                ["git", "-C", HERE, "worktree", "add", "--detach", "--quiet", path, revision],
                capture_output=True,
                text=True,
            )
            if done.returncode:
                raise BadSettings(
                    "rev:%s: %s"
                    % (revision, done.stderr.strip().splitlines()[-1] if done.stderr else "no such revision")
                )
            self.made[revision] = path
        return self.made[revision]

    def close(self):
        for path in self.made.values():
            subprocess.run(["git", "-C", HERE, "worktree", "remove", "--force", path], capture_output=True)
        self.holder.cleanup()


def build(text, trees):
    """A Build of its name. Raises BadSettings."""
    policy, directory, settings, rest = "as-built", HERE, {}, text
    if "set:" in rest:
        rest, _, told = rest.partition("set:")
        try:
            settings = msgspec.json.decode(told)
        except msgspec.MsgspecError as why:
            raise BadSettings("%s: what follows set: is no JSON: %s" % (text, why)) from why
        if not isinstance(settings, dict):
            raise BadSettings("%s: settings are an object" % text)
    for part in filter(None, rest.split(",")):
        if part.startswith("rev:"):
            directory = trees.of(part[4:])
        elif part in POLICIES:
            policy = part
        else:
            raise BadSettings(
                "build %s: %s is no policy (%s), rev:… or set:…" % (text, part, ", ".join(POLICIES))
            )
    return Build(text, policy, directory, settings)


def with_settings(scenario, more):
    return (
        msgspec.structs.replace(scenario, settings=_laid_over(scenario.settings, more)) if more else scenario
    )


def _laid_over(under, over):
    told = dict(under)
    for name, value in over.items():
        told[name] = (
            _laid_over(told[name], value)
            if isinstance(value, dict) and isinstance(told.get(name), dict)
            else value
        )
    return told


class Failed(Exception):
    """A run that gave nothing; the text is its process's last words."""


def play_apart(build, scenario, seed):
    """One run in a process of its own; a results.Kept. Raises Failed."""
    job = msgspec.json.encode(
        {"scenario": msgspec.to_builtins(scenario), "seed": seed, "policy": build.policy}
    )
    why = ""
    for _ in range(TRIES):
        done = subprocess.run(
            [sys.executable, "-m", "martenrouter", "lab", "one"],
            input=job,
            capture_output=True,
            cwd=build.directory,
            env={**os.environ, "PYTHONPATH": build.directory},
        )
        if done.returncode == 0:
            return msgspec.msgpack.decode(done.stdout, type=results.Kept)
        why = (
            done.stderr.decode(errors="replace").strip().splitlines() or ["ended with %d" % done.returncode]
        )[-1]
        if done.returncode > 0:
            break  # its own word, not a kill: the same again
    raise Failed("%s, %s, seed %d: %s" % (build.name, scenario.name, seed, why))


def one(job):
    """What a worker does: plays a job's bytes and gives a Kept's bytes."""
    from martenrouter.lab.emulator.runs import play

    told = msgspec.json.decode(job)
    scenario = msgspec.convert(told["scenario"], Scenario)
    run = play(scenario, told["seed"], told["policy"], judged=True)
    rules = {rule: len(found["breaks"]) for rule, found in run.verdict["rules"].items()}
    figures = {
        **run.figures,
        "prompt tokens": run.verdict["figures"]["prompt tokens"],
        "forwards a req": run.verdict["figures"]["forwards a req"],
    }
    figures["cost"] = {
        name: value for name, value in figures["cost"].items() if name in ("events", "rounds")
    }  # the same each time
    return msgspec.msgpack.encode(
        results.Kept(scenario.name, run.seed, run.policy, "", {}, figures, rules, results.pack(run.tries))
    )


def study(jobs, store, workers, say=lambda text: None):
    """`jobs`: (build, scenario, seed). Yields (build, scenario, seed, Kept) as they end, kept ones first; a
    run that failed raises Failed after all others have ended, so that nothing played is lost."""
    revisions, versions, waiting, failed = {}, results.versions(), [], []
    for build, scenario, seed in jobs:
        if build.directory not in revisions:
            revisions[build.directory] = results.revision(build.directory)
        day = with_settings(scenario, build.settings)
        key = results.key(day, seed, build.policy, revisions[build.directory], versions)
        kept = store.get(key) if store else None
        if kept is not None:
            yield build, scenario, seed, kept
        else:
            waiting.append((key, build, scenario, day, seed))
    say("%d runs are kept, %d to be played by %d workers" % (len(jobs) - len(waiting), len(waiting), workers))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        asked = {
            pool.submit(play_apart, build, day, seed): (key, build, scenario, seed)
            for key, build, scenario, day, seed in waiting
        }
        for count, done in enumerate(concurrent.futures.as_completed(asked), 1):
            key, build, scenario, seed = asked[done]
            try:
                kept = done.result()
            except Failed as why:
                failed.append(str(why))
                say(str(why))
                continue
            kept.revision, kept.versions = revisions[build.directory], versions
            if store:
                store.put(key, kept)
            say(
                "%d of %d: %s, %s: service %.3f"
                % (count, len(waiting), build.name, scenario.name, kept.figures["service"])
            )
            yield build, scenario, seed, kept
    if failed:
        raise Failed("%d runs gave nothing; the first: %s" % (len(failed), failed[0]))
