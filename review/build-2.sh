#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later. They are plain Python and
# need nothing beyond what the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
from pathlib import Path

for path in [Path("review/stand_ins_2.py"), *sorted(Path("review").glob("*/case.py"))]:
    ast.parse(path.read_text("utf-8"), str(path))
CHECK
