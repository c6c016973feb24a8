"""python -m martenrouter.drill: hosts instances of the decision module on the simulator's wire."""

import sys
import traceback

from martenrouter.drill import codec
from martenrouter.rules import Front


class Host:
    """Instances by name; one round of input lines in, one reply out."""

    def __init__(self):
        self.fronts = {}

    def round(self, now, lines):
        """`lines`: (number, text) of one round. Returns the reply's lines; raises codec.BadLine."""
        reply, inbox = [], {}
        at = iter(lines)
        for number, text in at:
            parts = text.split(" ")
            name, values = parts[0], parts[2:]
            try:
                if name not in codec.EVENTS and name not in ("up", "exit", "directory_update"):
                    raise codec.BadLine("unknown message: %s" % name[:60])
                if len(parts) < 2 or not parts[1]:
                    raise codec.BadLine("%s names no instance" % name)
                front = parts[1]
                if name == "up":
                    if not values:
                        raise codec.BadLine("up has no seed")
                    (seed,) = codec.values(name, (int,), values[:1])
                    self.fronts[front] = Front(seed, codec.settings(part for part in values[1:] if part))
                    inbox[front] = []
                    continue
                if front not in self.fronts:
                    raise codec.BadLine("%s is for an instance that is not up: %s" % (name, front))
                if name == "exit":
                    del self.fronts[front]
                    inbox.pop(front, None)
                elif name == "directory_update":
                    version, scope, count = codec.values(
                        name, (codec._opt_whole, lambda text: codec.SCOPES[text], int), values
                    )
                    rows = []
                    for _ in range(count):
                        number, row = next(at, (number, ""))
                        if row.split(" ")[0] != "row":
                            raise codec.BadLine("directory_update lacks a row")
                        rows.append(tuple(codec.values("row", codec.ROW, row.split(" ")[1:])))
                    inbox.setdefault(front, []).append(("listed", (version, scope, rows)))
                else:
                    inbox.setdefault(front, []).append(codec.decode(name, values))
            except codec.BadLine as why:
                raise codec.BadLine("line %d: %s" % (number, why))
        for front, calls in inbox.items():
            if calls:
                out = codec.Writer(front, reply)
                try:
                    self.fronts[front].turn(now, calls, out)
                except Exception as why:
                    place = traceback.extract_tb(why.__traceback__)[-1]
                    out.crash("%s: %s (%s line %d)" % (type(why).__name__, why, place.name, place.lineno))
        return reply


def run(source, sink):
    """Plays rounds until the input ends; returns the exit code. Trouble is said on standard error."""
    host, now, lines, number = Host(), None, [], 0
    try:
        for number, raw in enumerate(source, 1):
            text = raw.rstrip("\n")
            if now is None:
                parts = text.split(" ")
                if not text:
                    continue
                if parts[0] != "turn":
                    raise codec.BadLine(
                        "line %d: a round starts with 'turn', not: %s" % (number, parts[0][:60])
                    )
                try:
                    (now,) = codec.values("turn", (int,), parts[1:])
                except codec.BadLine as why:
                    raise codec.BadLine("line %d: %s" % (number, why))
            elif text == "eob":
                reply = host.round(now, lines)
                sink.write("".join(line + "\n" for line in reply) + "ready\n")
                sink.flush()
                now, lines = None, []
            elif text:
                lines.append((number, text))
        if now is not None:
            raise codec.BadLine("line %d: the input was cut off inside a round" % number)
    except codec.BadLine as why:
        print("martenrouter.drill: %s" % why, file=sys.stderr)
        return 1
    except UnicodeDecodeError as why:
        print("martenrouter.drill: after line %d: not UTF-8 text: %s" % (number, why.reason), file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout))
