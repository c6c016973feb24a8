#!/bin/sh
# Builds what the scripts of folders 6 to 10 start: their stand-ins are Python of the standard library alone, so
# this only checks that they compile, after the build of the deploy file has made .venv.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - <<'P'
import glob

for path in ["review/stage.py", "review/deployments.py", "review/engine_standin.py", "review/crowd_standin.py"] + sorted(
    glob.glob("review/[6-9]/*.py") + glob.glob("review/10/*.py")
):
    compile(open(path).read(), path, "exec")
P
