VENV ?= .venv
PY = $(VENV)/bin/python

.PHONY: demo test check clean

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --upgrade pip
	$(PY) -m pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(PY) -m misc.demo

test: $(VENV)/.installed
	$(PY) -m pytest

check: $(VENV)/.installed
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/isort --check --quiet .
	$(VENV)/bin/flake8
	$(VENV)/bin/mypy

clean:
	rm -rf $(VENV) .venv-ci build *.egg-info
