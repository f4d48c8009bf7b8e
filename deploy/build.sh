#!/usr/bin/env bash
# Lays out under target/ what a node needs to run: libraries, and the sources without their tests.
set -eu
if ! [ target/deps -nt deploy/requirements.txt ]; then
	python3 -m pip install -q -U --disable-pip-version-check --target target/deps \
		-r deploy/requirements.txt
	touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -r packages/springbridge/springbridge packages/springbridge-node/springbridge_node \
	platform/springbridge_platform deploy/node.py target/app/
find target/app -name '*_test.py' -delete
python3 -m compileall -q target/app
