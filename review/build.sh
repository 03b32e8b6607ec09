#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library: there is
# nothing to compile, only to check. The nodes come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/fleet.py ./*/case.py
test -x ../target/apps/tanagerloomd || echo "note: target/apps/tanagerloomd is not built yet"
