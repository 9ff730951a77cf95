#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it can't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=target/deps exec python3 review/9/case.py
