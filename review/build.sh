#!/bin/sh
# The stand-ins of the cases are Python programs without a build step. They need Python 3.9
# or later with its standard library, which libglib2.0-dev of the deploy file depends on.
set -eu
cd "$(dirname "$0")"
for file in rig/*.py [1-5]/*.py; do
  PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
assert sys.version_info >= (3, 9), sys.version
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/jackdaw-host || echo "target/jackdaw-host is missing: run the build of the deploy file" >&2
