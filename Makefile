# Commands of the project; README.md names them.

CARGO ?= cargo
SEED ?= 1
STEPS ?= 200000

.PHONY: build test lint demo fuzz cmake

build: cmake
	$(CARGO) build --workspace --release

test: cmake
	$(CARGO) test --workspace --quiet

lint: cmake
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets --quiet -- -D warnings

demo: build
	sh scripts/demo.sh

# nng is built from source with cmake.
cmake:
	@sh scripts/need-cmake.sh
