# Targets for developers. README.md explains each.
GO ?= go

.PHONY: build test lint demo generate
build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -race -count=1 ./...

lint:
	./scripts/lint

demo: build
	./scripts/demo

generate:
	./scripts/generate

# SECONDS and SEED may be set: make soak SECONDS=120 SEED=7
.PHONY: soak
soak: build
	SECONDS_LONG=$(or $(SECONDS),90) SEED=$(or $(SEED),1) ./scripts/soak

.PHONY: capacity
capacity: build
	./scripts/capacity
