#!/usr/bin/env bash
# Prepares the scripts of review/6 to review/10. Their stand-ins are Python
# files that use nothing but its standard library, so there is nothing to
# compile: this checks that they can be read and that the daemon is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/lib2/fleet.py review/{6,7,8,9,10}/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
test -x target/apps/tanagerloomd
