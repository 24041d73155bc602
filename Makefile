# Commands for developers; `make check` is what CI runs.
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# Each line of KNOWN-RED.txt that starts with "test:" names one test that is
# skipped; "seed:" names a seed that is not played here.
KNOWN_RED := $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: check fmt lint test build bench

check: lint test

build:
	go build -o bin/mulberryspool ./cmd/mulberryspool
	go build -o bin/standin ./cmd/standin

fmt:
	$(LINT) fmt

lint:
	$(LINT) fmt --diff
	$(LINT) run
	go vet ./...

test:
	@if [ -s KNOWN-RED.txt ]; then echo "known red, skipped:"; cat KNOWN-RED.txt; fi
	go test -race -count=1 -timeout 900s $(SKIP) $$(go list ./... | grep -v '/clientload$$')
	go test -count=1 -timeout 900s $(SKIP) ./internal/integration/clientload

bench:
	go test -run '^$$' -bench . -benchtime 1x ./...
