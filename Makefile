.PHONY: setup lint format test bench fuzz soak demo proto clean

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.stamp
PACKAGES := $(wildcard packages/*)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --require-hashes -r requirements.lock
	$(PYTHON) -m pip install -q --no-deps --no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $(STAMP)

setup: $(STAMP)

lint: setup
	$(VENV)/bin/black --check -q packages platform tests bench demo
	$(VENV)/bin/ruff check packages platform tests bench demo

format: setup
	$(VENV)/bin/black -q packages platform tests bench demo
	$(VENV)/bin/ruff check --fix packages platform tests bench demo
	$(VENV)/bin/black -q packages platform tests bench demo

test: setup
	$(PYTHON) -m pytest -q -n 4 --dist worksteal -m "not crowd"
	$(PYTHON) -m pytest -q -m crowd

demo: setup
	PYTHONPATH=tests:. $(PYTHON) -m demo

bench: setup
	PYTHONPATH=tests:. $(PYTHON) -m bench

fuzz: setup
	IBISSPRING_FUZZ=1 $(PYTHON) -m pytest -q tests/unit -k fuzz

soak: setup
	PYTHONPATH=tests:. $(PYTHON) -m soak

proto: setup
	$(PYTHON) -m grpc_tools.protoc -I proto --python_out=packages/ibisspring-core/src/ibisspring_core/pb --grpc_python_out=packages/ibisspring-core/src/ibisspring_core/pb $(wildcard proto/*.proto)
	sed -i 's/^import \(.*\)_pb2 as/from ibisspring_core.pb import \1_pb2 as/' packages/ibisspring-core/src/ibisspring_core/pb/*_grpc.py

clean:
	rm -rf $(VENV)
