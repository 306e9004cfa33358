#!/bin/sh
# The stand-ins are Python programs of the standard library: there is nothing
# to compile.  This checks their syntax, and that the deploy file was built.
set -e
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -d ../target/deps || {
    echo "target/deps is missing: run the build line of deploy/system.toml" >&2
    exit 1
}
