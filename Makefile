GO ?= go

.PHONY: check fmt vet lint test build
check: fmt vet lint test

build:
	$(GO) build ./...

fmt:
	@out=$$($(GO) tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt: run 'go tool gofumpt -w .' on:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

test:
	$(GO) test -race ./...
