#!/usr/bin/env bash
# Lays out under target/ what a node needs to run: libraries, and the sources without their tests.
# Nothing is touched if it is there already, since nodes may be running from it.
set -eu
if ! [ target/deps -nt deploy/requirements.txt ]; then
	python3 -m pip install -q -U --disable-pip-version-check --target target/deps \
		-r deploy/requirements.txt
	touch target/deps
fi
sources="packages/springbridge/springbridge packages/springbridge-node/springbridge_node
	platform/springbridge_platform deploy/node.py"
stamp=$(find $sources -name '*.py' ! -name '*_test.py' | sort | xargs sha256sum | sha256sum)
if [ "$(cat target/app/stamp 2>/dev/null)" = "$stamp" ]; then
	exit 0
fi
rm -rf target/app
mkdir -p target/app
cp -r $sources target/app/
find target/app -name '*_test.py' -delete
python3 -m compileall -q target/app
echo "$stamp" > target/app/stamp
