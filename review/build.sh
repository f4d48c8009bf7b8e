#!/usr/bin/env bash
# Lays out the stand-ins and the scripts' programs under target/review. Run it at the repository's root,
# after the build of the deploy file. It needs no network and no packages.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/*.py target/review/
for case in review/[0-9]*/case.py; do
	number=$(basename "$(dirname "$case")")
	cp "$case" "target/review/case_$number.py"
done
python3 -m compileall -q target/review
