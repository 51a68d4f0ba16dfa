PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test demo bench experiment ablation emulate soak format lint types unit lock clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(RUN) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: $(STAMP)
	$(RUN) -m tests

demo: $(STAMP)
	$(RUN) -m tests.lib.demo

bench: $(STAMP)
	$(RUN) -m bench $(BENCH_ARGS)

soak: $(STAMP)
	$(RUN) -m bench.soak $(or $(SOAK_ARGS),--seeds 5)

experiment: $(STAMP)
	$(RUN) -m bench.experiments $(or $(PLAN),placement) $(EXPERIMENT_ARGS)

ablation: $(STAMP)
	$(RUN) -m bench.experiments ablation $(EXPERIMENT_ARGS)

emulate: $(STAMP)
	$(RUN) -m bench.emulator $(or $(SCENARIO),power-loss) --windows $(EMULATE_ARGS)

format: $(STAMP)
	$(RUN) -m ruff format src tests bench
	$(RUN) -m ruff check --fix src tests bench

lint: $(STAMP)
	$(RUN) -m ruff format --check src tests bench
	$(RUN) -m ruff check src tests bench
	$(RUN) -m flake8 src tests bench

types: $(STAMP)
	$(RUN) -m mypy

unit: $(STAMP)
	$(RUN) -m unittest discover -s tests/unit -t .

lock: $(STAMP)
	$(RUN) -m piptools compile --quiet --no-emit-index-url --no-emit-trusted-host --no-header --strip-extras --extra dev --extra bench -o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV)
