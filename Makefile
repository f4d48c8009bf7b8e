# Every target sets up the virtual environment first, so each works on a fresh machine.
PYTHON ?= python3
BIN := .venv/bin
SEED ?= 1
MINUTES ?= 2

.PHONY: setup demo test lint proto soak soak-platform capacity mutants

setup: .venv/ready

.venv/ready: requirements.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/springbridge -e packages/springbridge-node \
		-e packages/springbridge-ctl -e packages/springbridge-standins -e platform
	touch .venv/ready

demo: setup
	$(BIN)/python -m springbridge_standins.class_router.demo

lint: setup
	$(BIN)/black --quiet --check .
	$(BIN)/ruff check --quiet .

test: lint
	$(BIN)/python -m pytest

proto: setup
	cd packages/springbridge-node && PATH="$(CURDIR)/$(BIN):$$PATH" python -m grpc_tools.protoc \
		-I. --python_out=. --grpclib_python_out=. springbridge_node/class_router/peers/proto/peer.proto

soak: setup
	$(BIN)/python -m springbridge_standins.class_router.soak --seed $(SEED) --minutes $(MINUTES)

# SEEDS soaks of MINUTES each on the users' platform, from SEED on; with NODES=20 a large fleet's ways.
SEEDS ?= 1
NODES ?= 4
soak-platform: setup
	$(BIN)/python -m springbridge_standins.gateway.soak --seed $(SEED) --seeds $(SEEDS) \
		--minutes $(MINUTES) --nodes $(NODES)

capacity: setup
	$(BIN)/python -m springbridge_standins.capacity

mutants: setup
	$(BIN)/python -m springbridge_standins.mutants
