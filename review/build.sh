#!/bin/sh
# The stand-ins are Python of the standard library, run by the interpreter that the deploy file's build made:
# there is nothing to build but their bytecode.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
