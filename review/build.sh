#!/usr/bin/env bash
# Builds the stand-ins that the cases start; they need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common
