PY ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
LIBS := $(wildcard libs/*) platform

.PHONY: demo test lint matrix bench-overhead clean

$(STAMP): requirements.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	$(PY) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation \
		--no-deps $(addprefix -e ,$(LIBS))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/masticpost-bench demo

test: $(STAMP)
	$(BIN)/pytest -n 4 --dist loadgroup -rs -m "not alone"
	$(BIN)/pytest -rs -m alone

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

matrix: $(STAMP)
	$(BIN)/pytest -n 4 testing/test_matrix.py --matrix-share 1.0

bench-overhead: $(STAMP)
	$(BIN)/masticpost-bench overhead

clean:
	rm -rf $(VENV) out
