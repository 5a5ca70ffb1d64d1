#!/usr/bin/env bash
# Builds what the scripts of the second review start.  The stand-ins are Python modules
# (review.bed and gaprock.test.fakes), which need only the packages in target/deps; they
# are compiled here so that a fault in them shows before a case runs.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m compileall -q \
  review/bed.py review/4 review/5 review/7 review/8 \
  gaprock/test/ports.py gaprock/test/fakes
PYTHONPATH="target/deps:." python3 -c "import review.bed"
