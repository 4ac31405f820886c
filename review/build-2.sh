#!/bin/sh
# Builds what the cases 6 to 10 start beside the heads: their stand-ins, which are Python and need no package.
# Run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/support_2.py review/6 review/7 review/8 review/9 review/10
