#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They are Python files
# that need the standard library only, so this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_3.py review/1[1-5]
