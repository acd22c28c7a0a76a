VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SOURCES := src tests bench tools
BENCHES := ledger store_budget gossip routing overhead recovery batch \
    preemption drain detection spread control

.PHONY: test demo lint format bench docs clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check \
	    -c constraints.txt -e '.[test,bench]'
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)
	$(VENV)/bin/mypy src/persimmonpass/policy

format: $(STAMP)
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

test: lint
	$(PYTHON) -m tests.run

demo: $(STAMP)
	$(VENV)/bin/persimmonpass demo

bench: $(STAMP)
	for name in $(BENCHES); do \
	    echo "== $$name"; $(PYTHON) -m bench.$$name || exit 1; \
	done

clean:
	rm -rf $(VENV) build src/*.egg-info

docs: $(STAMP)
	$(PYTHON) -m tools.events_page
