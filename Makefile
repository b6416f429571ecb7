VENV := .venv
STAMP := $(VENV)/.installed
PYTHON := $(VENV)/bin/python

.PHONY: demo test lint slopes

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) samples/demo.py

test: $(STAMP)
	$(PYTHON) -m kingcupvane.tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

slopes: $(STAMP)
	$(PYTHON) -m bench slopes
