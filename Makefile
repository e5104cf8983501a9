GO    ?= go
SITE  ?= nilevale
SEED  ?= 1
# The fuzz target runs HISTORIES histories of STEPS steps each; SEED is the first seed.
STEPS     ?= 24
HISTORIES ?= 1000

.PHONY: all build run dev test fmt-check vet lint unit race bench fuzz slopes experiment events clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# Start a small site on loopback, run its workload and print a report.
# SITE is nilevale or kierowca.
run: build
	./bin/buckthornpick-dev run --site $(SITE) --seed $(SEED)

# Start the site, print example requests and keep running until interrupted.
dev: build
	./bin/buckthornpick-dev serve --site $(SITE)

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint: vet
	$(GO) tool staticcheck ./...

# All tests at their full sizes, but for those in KNOWN-RED.txt.
unit:
	GO=$(GO) ./scripts/run-tests unit

# All tests with the race detector, at reduced sizes.
race:
	GO=$(GO) ./scripts/run-tests race

# Everything that CI runs.
test: fmt-check lint build unit race

# Measure the delay and processor time that an entry adds, and run the
# micro-benchmarks.
bench: build
	./bin/buckthornpick-load bench
	$(GO) test -run '^$$' -bench . -benchtime 1s ./...

# Run stateful fuzz tests of whole sites; see docs/FUZZ.md.
fuzz:
	FUZZ_SEED=$(SEED) FUZZ_STEPS=$(STEPS) FUZZ_HISTORIES=$(HISTORIES) \
		$(GO) test -count=1 -timeout 6h -run TestHistories ./test/fuzz

# Measure control traffic, processor time, memory and store calls at growing sizes.
slopes: build
	./bin/buckthornpick-slopes

# Compare routing, admission and sizing policies on both users' workloads.
experiment: build
	./bin/buckthornpick-experiment --out out/experiment

# Regenerate docs/EVENTS.md from the catalogue of log events.
events: build
	./bin/buckthornpick-dev events > docs/EVENTS.md

clean:
	rm -rf bin out
