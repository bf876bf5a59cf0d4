# Targets for developers. README.md explains each.
GO ?= go

.PHONY: build test lint demo generate fuzz bench
build:
	$(GO) build -o bin/ ./cmd/...

test:
	GO=$(GO) ./scripts/test

# Runs the property tests of all models and of the replicated log under faults on
# any seed: make fuzz SEED=n CHECKS=n
SEED ?= 1
CHECKS ?= 1000
MODELS = $(addprefix ./,$(sort $(dir $(shell grep -rl --include='*_test.go' 'pgregory.net/rapid' internal))))
fuzz:
	$(GO) test -count=1 -timeout=0 -run='^TestModel' $(MODELS) -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)
	$(GO) test -count=1 -v -timeout=0 -run=Faults ./internal/consensus -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# Measures the replicated log (three voters on loopback that sync to disk), the
# request path against a bare net/http proxy, and ways of balancing load over
# endpoints.
bench:
	$(GO) test -run=NONE -bench='Commit$$' -benchtime=100000x ./internal/voter
	$(GO) test -run=NONE -bench=CommitLatency -benchtime=6400x ./internal/voter
	$(GO) test -run=NONE -bench=LeaderLoss -benchtime=10x ./internal/voter
	$(GO) test -run=NONE -bench=Request -benchtime=10000x ./internal/entry
	$(GO) test -run=NONE -bench=IdleLinks -benchtime=3x ./internal/entry
	$(GO) test -count=1 -v -run=SkewedLoad ./internal/route
	$(GO) test -run=NONE -bench=Restart -benchtime=10x ./internal/voter
	$(GO) test -run=NONE -bench=Idle -benchtime=1x ./internal/voter

lint:
	./scripts/lint

demo: build
	./scripts/demo

generate:
	./scripts/generate

# SECONDS and SEED may be set: make soak SECONDS=120 SEED=7
.PHONY: soak
soak: build
	SECONDS_LONG=$(or $(SECONDS),90) SEED=$(SEED) ./scripts/soak

.PHONY: capacity
capacity: build
	./scripts/capacity

# Compares placement policies in virtual time: make measure SEED=n
.PHONY: measure
measure:
	$(GO) run ./cmd/egretmux-measure --seed $(SEED)
