#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which need no package and no network. They start no stand-in of the project's own.
cd "$(dirname "$0")/standins-2" || exit 2
exec cargo build --release --locked --offline
