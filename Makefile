GO ?= go
BIN := bin

.PHONY: build test generate model measure bench slopes demo demo-umurongo up recover mutants

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

# Tests that fail for a known fault stand in KNOWN-RED.txt. They are printed and passed over, nothing else is.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)

test:
	@if [ -n "$(KNOWN_RED)" ]; then echo "passed over, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
	$(GO) test $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

generate:
	$(GO) generate ./...

model:
	bash spec/check.sh

measure: build
	$(BIN)/arbutusfork-bench policy
	$(BIN)/arbutusfork-bench limits
	$(BIN)/arbutusfork-bench fairness

bench: build
	scripts/bench.sh

slopes: build
	$(BIN)/arbutusfork-bench slopes

demo: build
	scripts/example.sh demo fuqaa

demo-umurongo: build
	scripts/example.sh demo umurongo

up: build
	scripts/example.sh up fuqaa

recover: build
	scripts/recover.sh

mutants:
	scripts/mutants.sh
