GO ?= go
BIN := bin

.PHONY: build test generate model measure

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	$(GO) test ./...

generate:
	$(GO) generate ./...

model:
	bash spec/check.sh
