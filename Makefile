# The tasks of this repository; `.ci/run` is what a change has to pass.
.PHONY: build test lint run ci

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet

# GW_CONFIG names the configuration: make run GW_CONFIG=config.json
GW_CONFIG ?= deploy/example.json
run: build
	GW_CONFIG="$(GW_CONFIG)" target/release/garnettally

ci:
	bash .ci/run
