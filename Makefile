# The tasks of this repository; `.ci/run` is what a change has to pass.
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

# FILE names the operator's file: make serve FILE=my.toml
FILE ?= deploy/example.toml
serve: build
	target/release/garnettally serve "$(FILE)"

check: build
	target/release/garnettally check "$(FILE)"

ci:
	bash .ci/run
