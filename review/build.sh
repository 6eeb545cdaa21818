#!/bin/sh
# The stand-ins are Python files that need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/fleet.py review/*/case.py
