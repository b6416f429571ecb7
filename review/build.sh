#!/usr/bin/env bash
# Builds the stand-ins: compiles them, and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
PYTHONPATH=. python3 -c 'import review.standins.case'
