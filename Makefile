# Tools are installed at pinned versions if the machine lacks them.
GOLANGCI_VERSION := v2.15.0
GOFUMPT_VERSION := v0.12.0
TOOLS := $(shell go env GOPATH)/bin
FUZZ_TIME ?= 30s
FUZZ_SEED ?= 1

.PHONY: build test race lint format tools fuzz bench demo docs clean

build:
	go build -o bin/ ./cmd/...

tools:
	@test -x $(TOOLS)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	@test -x $(TOOLS)/gofumpt || go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

format: tools
	$(TOOLS)/gofumpt -w .

lint: tools
	@out=$$($(TOOLS)/gofumpt -l .); test -z "$$out" || { echo "gofumpt: $$out"; exit 1; }
	$(TOOLS)/golangci-lint run ./...

race:
	go test -race ./...

test: lint build race
	@test ! -f KNOWN-RED.txt || { echo "known red:"; cat KNOWN-RED.txt; }

fuzz:
	go test ./... -run Fuzz -rapid.seed=$(FUZZ_SEED)

bench:
	go test ./... -run '^$$' -bench . -benchtime 1s

demo: build
	bin/standin demo

clean:
	rm -rf bin
