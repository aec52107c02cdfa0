#!/usr/bin/env bash
# Runs the case in a folder. Exits with 1 if its rule was broken, 0 if it held, and 2 if it couldn't run.
PYTHONDONTWRITEBYTECODE=1 python3 "$1/case.py"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
