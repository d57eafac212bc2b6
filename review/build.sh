#!/bin/sh
# Builds the stand-ins of the cases; needs no package and no network.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
