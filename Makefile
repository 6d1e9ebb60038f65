PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 0
EXAMPLES ?= 400

.PHONY: install test lint format demo serve bench fuzz clean

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

install: $(VENV)/.installed

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m pytest -n 4 -m "not crowd"
	$(BIN)/python -m pytest -m crowd

demo: install
	$(BIN)/python -m dogwoodchute.tools.demo

serve: install
	$(BIN)/python -m dogwoodchute.tools.demo --serve

bench: install
	$(BIN)/python -m bench

fuzz: install
	@echo "fuzzing with SEED=$(SEED) EXAMPLES=$(EXAMPLES)"
	DOGWOODCHUTE_FUZZ_SEED=$(SEED) DOGWOODCHUTE_FUZZ_EXAMPLES=$(EXAMPLES) \
		$(BIN)/python -m pytest -n 4 -k "machine or fuzz" --hypothesis-seed=$(SEED)

clean:
	rm -rf $(VENV)
