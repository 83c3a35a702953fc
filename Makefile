.PHONY: build test lint run measure fleet budgets histories rotate fuzz

# Linked dynamically by the C tool chain, as the platform's bench for large fleets asks.
export CGO_ENABLED = 1
LINK = -ldflags=-linkmode=external

build: ## bin/chutechute, the front end, and bin/simhost, the simulator's adapter
	mkdir -p bin
	go build $(LINK) -o bin/ ./cmd/...

test: lint build ## format, vet, staticcheck, build and all tests
	go test -count=1 -p 1 ./... # one package at a time: some compare times, and others take all cores

lint: ## gofmt, go vet and staticcheck, at the version that go.mod names
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

run: build ## needs NODE_CONFIG, see README.md
	exec bin/chutechute

measure: ## the figures of docs/design: costs, accuracy, memory; CHUTECHUTE_BASELINE names an earlier build to measure beside
	CHUTECHUTE_LONG=1 go test -count=1 -v -run 'Accuracy|Beside|OneOff|Corpus$$' ./statement
	go test -run XXX -bench . -benchmem ./statement
	cd bench/parsers && go test -v -run Coverage -bench . -benchmem
	CHUTECHUTE_LONG=1 go test -count=1 -v -run '^TestIdle|IdentityCost|FloodAnswerTimes' ./cmd/chutechute

fleet: ## what copies and taking over cost, for docs/design/copies.md and takeover.md
	CHUTECHUTE_LONG=1 go test -count=1 -v -run '^Test(Fleet|CatchUp|Takeover)Figures$$' ./cmd/chutechute

budgets: ## what dividing budgets costs and gives, for docs/design/budgets.md, and 10,000 histories of it
	CHUTECHUTE_LONG=1 go test -count=1 -v -run 'Share|Cost' ./budget
	go test -run XXX -bench Afford -benchmem ./decide
	CHUTECHUTE_LONG=1 go test -count=1 -v -run '^TestTrafficMovesAndACut$$' ./cmd/chutechute
	go test -count=1 -timeout 60m -run '^TestSumNeverExceedsTheWhole$$' ./budget -rapid.checks=10000

histories: ## HISTORIES random histories of whole fleets from SEED on, in virtual time
	CHUTECHUTE_HISTORIES=$(or $(HISTORIES),1000) CHUTECHUTE_SEED=$(or $(SEED),1) go test -count=1 -timeout 60m -run '^TestHistories$$' ./exercise

rotate: ## a minute each of keys and certificates that rotate under load
	CHUTECHUTE_LONG=1 go test -count=1 -v -run 'RotationUnderLoad|RotateUnderLoad' ./cmd/chutechute

fuzz: ## ten minutes of texts nobody has thought of
	go test -run XXX -fuzz FuzzRead -fuzztime 10m ./statement
