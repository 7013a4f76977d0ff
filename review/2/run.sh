#!/usr/bin/env bash
# Rule MIXED; see claim.txt. TROUBLE=0 runs the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
