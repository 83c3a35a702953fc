.PHONY: build test lint run

build: ## bin/chutechute, the front end, and bin/simhost, the simulator's adapter
	mkdir -p bin
	go build -o bin/ ./cmd/...

test: lint build ## format, vet, build and all tests
	go test -count=1 ./...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted" >&2; exit 1; fi
	go vet ./...

run: build ## needs NODE_CONFIG, see README.md
	exec bin/chutechute
