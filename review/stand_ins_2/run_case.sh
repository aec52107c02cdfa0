#!/usr/bin/env bash
# Runs the case in a folder. Exits with 1 if its rule was broken, 0 if it held, and 2 if it couldn't run.
PYTHONDONTWRITEBYTECODE=1 python3 "$1/case.py" &
case_pid=$!
# Whoever ends this script ends the case, which ends its processes.
trap 'kill -TERM "$case_pid" 2>/dev/null' TERM INT HUP
wait "$case_pid"
status=$?
# A signal interrupts the first `wait`; the second one gets the case's own status.
while kill -0 "$case_pid" 2>/dev/null; do
    wait "$case_pid"
    status=$?
done
case $status in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
