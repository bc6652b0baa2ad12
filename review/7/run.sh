#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Writes record.txt in this folder: what was sent, answered and run.
cd "$(dirname "$0")" || exit 2
echo "not begun: the deploy file's build is missing" >record.txt
test -x ../../.venv/bin/python || exit 2
PYTHONPATH=.. exec ../../.venv/bin/python -B case.py
