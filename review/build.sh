#!/bin/sh
# Checks that the deploy file's build is there and compiles the stand-ins; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
