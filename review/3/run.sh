#!/usr/bin/env bash
# Rule DRAIN; see claim.txt. TROUBLE=0 runs the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
