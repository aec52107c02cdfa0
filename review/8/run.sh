#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
exec bash "$here/../stand_ins_2/run_case.sh" "$here"
