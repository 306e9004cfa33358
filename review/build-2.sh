#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python, only compiled.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/common-2
