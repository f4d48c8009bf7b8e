#!/usr/bin/env bash
# Builds the stand-ins of the second review, which are Python files of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
python3 -m py_compile review/standins_2.py review/engine_2.py review/4/case.py review/5/case.py \
	review/6/case.py review/7/case.py review/8/case.py
