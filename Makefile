# The tasks of this repository. `make help` lists them.
GO ?= go

.PHONY: help build test soak soak-fleet soak-upgrade fault-soak race lint ci regression demo demo-up demo-down measure capacity
help: ## list the tasks
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

build: ## build all programs into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## run all tests, with fixed seeds
	$(GO) test -count=1 ./...

# The packages whose tests generate random runs with rapid.
RANDOM_RUNS = ./core/conf ./core/fair ./core/limit ./core/retry ./core/route ./core/term ./io/match
SEED ?= 1
STEPS ?= 1000

soak: ## run each randomised test STEPS times from SEED; print the first violated invariant
	@echo "seed $(SEED), $(STEPS) runs of each kind"
	$(GO) test -count=1 -timeout 0 $(RANDOM_RUNS) -args -rapid.seed=$(SEED) -rapid.checks=$(STEPS) -rapid.nofailfile

SEEDS ?= 50
soak-fleet: ## test a fleet of separate processes under faults, with SEEDS seeds from SEED on
	$(GO) test -count=1 -timeout 0 -parallel 3 ./platform -run Soak -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.seconds=8

FROM ?= 3e9f912
soak-upgrade: SEEDS = 2
soak-upgrade: ## upgrade such a fleet from the build of the commit FROM and return, with SEEDS seeds from SEED on
	$(GO) test -count=1 -timeout 0 -parallel 3 ./platform -run 'TestSoakUpgrade$$' -args -soak.from=$(FROM) -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.seconds=8

fault-soak: SEEDS = 1
fault-soak: soak-fleet ## run soak-fleet with the single seed SEED

race: ## test the packages that share state between goroutines with the race detector
	$(GO) test -race -count=1 ./io/entry ./io/lead ./io/logs ./io/pooler ./io/proxy ./io/relay ./io/right ./io/view ./platform

lint: ## check with gofmt, go vet, staticcheck and revive
	@un=$$(gofmt -l $$(git ls-files '*.go') 2>/dev/null); if [ -n "$$un" ]; then echo "not formatted: $$un"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -formatter stylish ./...

demo: build ## run a fleet of 7 instances under mixed traffic and failures; print one JSON object
	scripts/demo.sh run
demo-up: build ## start the same fleet and leave it running
	scripts/demo.sh up
demo-down: ## stop the fleet that demo-up started
	scripts/demo.sh down

measure: build ## run all experiments on whole fleets; write docs/MEASURES.md
	scripts/measure.sh
capacity: build ## measure how the cost of an instance grows with the fleet; write docs/CAPACITY.md
	scripts/capacity.sh

regression: ## play quick days with the users' bench: make regression BENCH=... SITES="..."
	scripts/regression.sh $(BENCH) $(SITES)

ci: ## run .ci/run
	bash .ci/run
