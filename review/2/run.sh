#!/usr/bin/env bash
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
export REVIEW_ROOT="$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 "target/review/case_$(basename "$here").py" "$here/record.txt"
