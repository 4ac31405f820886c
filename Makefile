.PHONY: build test lint run

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q -o 1 --invalidation-mode unchecked-hash .venv/lib
	.venv/bin/python -m compileall -q -o 1 --invalidation-mode checked-hash stoatrouter cypressworks

# the environment of the tests is one of its own, so that a build is never touched by them
.ci-venv/bin/ruff: requirements.txt requirements-rules.txt requirements-dev.txt
	test -x .ci-venv/bin/python || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install --disable-pip-version-check -r requirements-rules.txt -r requirements-dev.txt
	touch $@

lint: .ci-venv/bin/ruff
	.ci-venv/bin/ruff check .

test: lint
	PYTHONHASHSEED=0 PYTHONDONTWRITEBYTECODE=1 .ci-venv/bin/python -m pytest -q

run: build
	.venv/bin/python -O -B -m stoatrouter
