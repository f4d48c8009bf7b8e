#!/usr/bin/env bash
# Builds the files that a node needs under target/: libraries, and the sources without tests.
# Files that are up to date are left alone. New sources are copied to a directory beside the old ones
# and then renamed, because nodes may be starting at that moment: a node that finds only a part of the
# sources fails at its first import.
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
rm -rf target/app.new target/app.old
mkdir -p target/app.new
cp -r $sources target/app.new/
find target/app.new -name '*_test.py' -delete
python3 -m compileall -q -s target/app.new -p target/app target/app.new
echo "$stamp" > target/app.new/stamp
if [ -e target/app ]; then
	mv target/app target/app.old
fi
mv target/app.new target/app
rm -rf target/app.old
