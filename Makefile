# Targets install into .venv from the hash-locked requirements.lock.
VENV := .venv
PY := PYTHONPATH=tools $(VENV)/bin/python
DEPLOYMENT ?= saurashtra
SEED ?= 1
TRIALS ?= 1000
SEEDS ?= 1

.PHONY: test check demo bench faults soak format lock clean

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/.installed
	$(MAKE) --no-print-directory check

# The checks alone, with the tools that are already in VENV.
check:
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	PYTHONPATH=src:tools $(VENV)/bin/python tools/check_docstrings.py
	$(VENV)/bin/pytest

demo: $(VENV)/.installed
ifeq ($(DEPLOYMENT),platform)
	$(PY) -m platform_demo
else
	$(PY) -m demo --deployment=$(DEPLOYMENT)
endif

bench: $(VENV)/.installed
	$(PY) -m bench --seed=$(SEED)

faults: $(VENV)/.installed
	$(PY) -m faults --seed=$(SEED) --trials=$(TRIALS)

soak: $(VENV)/.installed
	$(PY) -m soak --seed=$(SEED) --seeds=$(SEEDS)

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lock: $(VENV)/.installed
	$(VENV)/bin/pip-compile --quiet --extra dev --generate-hashes --allow-unsafe \
	    --strip-extras --no-emit-index-url --no-emit-find-links --output-file requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
