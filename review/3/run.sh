#!/usr/bin/env bash
# Rule DRAIN; see claim.txt. TROUBLE=0 runs the same without the disruption.
command -v python3 >/dev/null || exit 2
exec python3 -B "$(dirname "$0")/case.py"
