#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# Its stand-ins are in review/stand_ins_3.py, which review/build-3.sh builds.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. exec python3 review/13/case.py
