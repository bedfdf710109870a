GO ?= go
BIN := bin

.PHONY: build test generate model measure bench slopes demo demo-umurongo up recover

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test ./...

generate:
	$(GO) generate ./...

model:
	bash spec/check.sh

measure: build
	$(BIN)/arbutusfork-bench policy

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
