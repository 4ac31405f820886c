.PHONY: build test lint run tools

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q -o 1 --invalidation-mode unchecked-hash .venv/lib
	.venv/bin/python -m compileall -q -o 1 --invalidation-mode checked-hash stoatrouter

# the environment of the tests is one of its own, so that a build is never touched by them
.ci-venv/bin/ruff: requirements.txt requirements-rules.txt requirements-cli.txt requirements-dev.txt
	test -x .ci-venv/bin/python || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install --disable-pip-version-check -r requirements-cli.txt -r requirements-dev.txt
	touch $@

lint: .ci-venv/bin/ruff
	.ci-venv/bin/ruff check .
	.ci-venv/bin/ruff format --check .
	.ci-venv/bin/python -m mypy

# most tests wait rather than work; tests/conftest.py bounds how many of them start fleets of processes at once
TEST_WORKERS = 6

test: lint
	PYTHONHASHSEED=0 PYTHONDONTWRITEBYTECODE=1 .ci-venv/bin/python -m pytest -q -n $(TEST_WORKERS) --dist loadgroup

# what the command line and the demo need is apart from what a head on the platform has
.tools-venv/bin/stoatrouter: requirements.txt requirements-rules.txt requirements-cli.txt
	test -x .tools-venv/bin/python || python3 -m venv .tools-venv
	.tools-venv/bin/pip -q install --disable-pip-version-check -r requirements-cli.txt
	printf '#!/bin/sh\nPYTHONPATH="%s" exec "%s/.tools-venv/bin/python" -m stoatrouter "$$@"\n' "$(CURDIR)" "$(CURDIR)" > $@
	chmod +x $@

tools: .tools-venv/bin/stoatrouter

# one head where NODE_CONFIG names its configuration; else the demo
run:
	@if [ -n "$$NODE_CONFIG" ]; then $(MAKE) build && exec .venv/bin/python -O -B -m stoatrouter; \
	else $(MAKE) -s tools && exec .tools-venv/bin/stoatrouter demo; fi
