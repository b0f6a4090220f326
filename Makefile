GOBIN := $(shell go env GOPATH)/bin
LINT_VERSION := v2.15.0
FUMPT_VERSION := v0.12.0
GOPLS_VERSION := v0.22.0
MODULES := . $(wildcard cmd/*) $(wildcard system)
PROGRAMS := $(notdir $(wildcard cmd/*))

# The tests that stand in KNOWN-RED.txt run apart and don't decide.
KNOWN_RED := $(shell .ci/known_red pattern)

.PHONY: known-red build test floods lint fmt tools demo measure clean

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./cmd/$$p || exit 1; done

test:
	@.ci/known_red check
	@for m in $(MODULES); do \
		(cd $$m && packages=$$(go list ./...) && go test -race -timeout 8m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') \
			$$(echo "$$packages" | grep -v '/platform/floods$$')) || exit 1; done
	@$(MAKE) --no-print-directory floods

# These tests load the machine with processes, memory and connections, so that no other test may run beside them. Their
# programs are built without -race, which multiplies the memory that they hold.
floods:
	@go test -p 1 -timeout 8m ./platform/floods

known-red:
	@.ci/known_red run

tools:
	@test -x $(GOBIN)/golangci-lint && $(GOBIN)/golangci-lint version 2>/dev/null | grep -q $(LINT_VERSION:v%=%) || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@test -x $(GOBIN)/gofumpt && $(GOBIN)/gofumpt --version 2>/dev/null | grep -q $(FUMPT_VERSION) || \
		go install mvdan.cc/gofumpt@$(FUMPT_VERSION)
	@test -x $(GOBIN)/gopls && $(GOBIN)/gopls version 2>/dev/null | grep -q $(GOPLS_VERSION) || \
		go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: tools
	@for m in $(MODULES); do (cd $$m && $(GOBIN)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

fmt: tools
	@for m in $(MODULES); do (cd $$m && $(GOBIN)/golangci-lint fmt --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

clean:
	rm -rf bin $(OUT)

# Logs, run records, time lines, results and plots.
OUT := out

demo: build
	bin/sparload --deployment deploy/quilt.ini --dir $(OUT) demo

measure: build
	@mkdir -p $(OUT)
	bin/sparload --deployment deploy/quilt.ini --dir $(OUT) --json $(OUT)/measure-quilt.json measure
	bin/sparload --deployment deploy/teranga.ini --dir $(OUT) --json $(OUT)/measure-teranga.json measure
