# The one door to every task. `make help` lists them.
GO ?= go

.PHONY: help build test soak soak-fleet fault-soak race lint ci demo demo-up demo-down measure capacity
help: ## list the tasks
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

build: ## build every program into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## run every test, with fixed seeds
	$(GO) test -count=1 ./...

# Every package whose tests draw random runs by rapid.
RANDOM_RUNS = ./core/conf ./core/fair ./core/limit ./core/retry ./core/route ./core/term ./io/script
SEED ?= 1
STEPS ?= 1000

soak: ## every randomised run from SEED, STEPS runs each; prints the first broken invariant
	@echo "seed $(SEED), $(STEPS) runs of each kind"
	$(GO) test -count=1 -timeout 0 $(RANDOM_RUNS) -args -rapid.seed=$(SEED) -rapid.checks=$(STEPS) -rapid.nofailfile

SEEDS ?= 50
soak-fleet: ## the program as separate processes under faults, SEEDS seeds from SEED
	$(GO) test -count=1 -timeout 0 -parallel 3 ./platform -run Soak -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.seconds=8

fault-soak: SEEDS = 1
fault-soak: soak-fleet ## the same with the one seed SEED

race: ## the packages that share state between goroutines, under the race detector
	$(GO) test -race -count=1 ./io/entry ./io/lead ./io/logs ./io/pooler ./io/proxy ./io/relay ./io/right ./io/view ./platform

lint: ## formatter, vet, staticcheck and revive
	@un=$$(gofmt -l $$(git ls-files '*.go') 2>/dev/null); if [ -n "$$un" ]; then echo "not formatted: $$un"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -formatter stylish ./...

demo: build ## a fleet of 7 under mixed traffic and failures, one JSON object
	scripts/demo.sh run
demo-up: build ## the same fleet, left running
	scripts/demo.sh up
demo-down: ## stop the fleet that demo-up started
	scripts/demo.sh down

measure: build ## every experiment on whole fleets; writes docs/MEASURES.md
	scripts/measure.sh
capacity: build ## how an instance grows with the fleet; writes docs/CAPACITY.md
	scripts/capacity.sh

ci: ## what .ci/run does
	bash .ci/run
