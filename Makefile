# Two commands do all on a fresh machine: `make day` plays the scenario bad-night, `make test` runs the tests.
PYTHON ?= python3
BIN := .venv/bin
SEED ?= 1
OUT ?= /tmp/runspool-day

.PHONY: day test lint clean

$(BIN)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip -q install --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip -q install --disable-pip-version-check --no-deps -e .
	touch $@

day: $(BIN)/.installed
	$(BIN)/runspool lab day bad-night --seed $(SEED) --out $(OUT)

test: $(BIN)/.installed
	$(BIN)/python -m pytest

lint: $(BIN)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

clean:
	rm -rf .venv .mypy_cache .ruff_cache .pytest_cache *.egg-info
