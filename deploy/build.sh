#!/usr/bin/env bash
# Builds the daemon into target/deps: the libraries of the runtime lock, our
# packages as they stand, and byte code for all of it, so that a process does
# not compile at its start. Runs again only for what has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s requirements-runtime.lock target/installed.lock; then
    rm -rf "$deps"
    mkdir -p "$deps"
    python3 -m pip install --quiet --no-deps --require-hashes \
        --target "$deps" -r requirements-runtime.lock
    cp requirements-runtime.lock target/installed.lock
fi
rm -rf "$deps"/apricot*
cp -r packages/apricotlanding/src/apricotlanding \
    packages/apricotlandingd/src/apricotlandingd \
    platform/src/apricotplatform "$deps"/
python3 -m compileall -q "$deps" || true
