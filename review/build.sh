#!/usr/bin/env bash
# The stand-ins are Python modules of this repository: they are compiled as a check, and
# nothing is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import importlib
import pathlib

for name in ("fakes.backend", "fakes.metastore", "ports"):
    importlib.import_module(f"gaprock.test.{name}")
importlib.import_module("review.site")
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
PY
