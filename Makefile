.PHONY: build test lint run

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q -o 1 --invalidation-mode unchecked-hash .venv/lib
	.venv/bin/python -m compileall -q -o 1 --invalidation-mode checked-hash stoatrouter cypressworks

test:
	bash .ci/run

lint:
	test -x .ci-venv/bin/python || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	.ci-venv/bin/ruff check .

run: build
	.venv/bin/python -O -B -m stoatrouter
