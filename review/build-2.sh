#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. They are Python programs that use the
# standard library only (lab.py and each case.py); this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for it in lab.py [4-8]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"
done
