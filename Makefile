# Common tasks of this repository. Every change has to pass `.ci/run`, which `make ci` runs.
.PHONY: build test lint run serve check ci

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet

run: build
	target/release/garnettally demo

# FILE is the path of the operator's file, for instance: make serve FILE=my.toml
FILE ?= deploy/example.toml
serve: build
	target/release/garnettally serve "$(FILE)"

check: build
	target/release/garnettally check "$(FILE)"

ci:
	bash .ci/run
