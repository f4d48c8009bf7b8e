#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 review/8/case.py
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
