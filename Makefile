PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
NAME ?= all
SEED ?= 1
FOR ?= 10
export PYTHONPATH := src:.
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup lock format lint test demo bench soak dist

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

lock:
	$(BIN)/pip-compile --quiet --all-extras --strip-extras --allow-unsafe \
	  --no-emit-index-url --no-emit-find-links --output-file requirements.lock pyproject.toml

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup
	$(BIN)/python -m pytest -m "not memory"
	$(BIN)/python -m pytest -m memory

demo: setup
	$(BIN)/python -m bench.demo

bench: setup
	$(BIN)/python -m bench $(NAME)

soak: setup
	$(BIN)/python -m bench.soak $(SEED) $(FOR) network

dist: setup
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --entry-point figpick.cli:main \
	  --output-file dist/figpick --python '/usr/bin/env python3' \
	  --constraint requirements.lock .
