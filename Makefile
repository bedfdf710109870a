GO ?= go
BIN := bin

.PHONY: build test generate model measure bench bench-short slopes demo demo-umurongo up recover mutants fuzz fuzz-short soak soak-short review

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
	$(BIN)/arbutusfork-bench gateway

# A short run for CI. Its exit status counts, its figures do not.
bench-short: build
	$(BIN)/arbutusfork-bench gateway --length 1s --streams 200

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

# Every decoder, 200,000 inputs each. Inputs that failed are stored under testdata/fuzz, where `make test` replays them.
fuzz:
	scripts/fuzz.sh 200000x

# A short run for CI: the decoders of what other writers and endpoints send.
fuzz-short:
	scripts/fuzz.sh 2000x 'FuzzEntry|FuzzConfiguration|FuzzReport|FuzzHeaders|afkeeper'

# Seeds that failed once, and one more, for some minutes by hand.
soak: build
	for s in $$(sed -n 's/^\([0-9]*\) .*/\1/p' internal/afsoak/seeds.txt) 7; do $(BIN)/arbutusfork-soak --seed $$s || exit 1; done

# A short run for CI.
soak-short: build
	$(BIN)/arbutusfork-soak --seed 7 --length 8s --vms 3 --callers 8

# The cases of the independent review, one run each.
review:
	go build -trimpath -ldflags=-linkmode=external -o target/ ./cmd/arbutusfork
	bash review/build.sh
	for c in 1 2 3 4; do bash review/$$c/run.sh || exit 1; done
