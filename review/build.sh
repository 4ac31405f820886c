#!/bin/sh
# After the build of the deploy file: what the cases need besides it. Run once, with the package mirrors at hand.
# Heads that know each other need requirements-rules.txt (README.md); the stand-ins are Python and are compiled here.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import re2, lark, msgspec, xxhash" 2>/dev/null ||
	.venv/bin/pip -q install --disable-pip-version-check -r requirements-rules.txt
.venv/bin/python -m compileall -q review
