#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=review/standins-2/target/release/review-standins-2
[ -x "$program" ] && [ -x target/release/grebehook ] || {
    echo "run the build of the deploy file and review/build-2.sh first"
    exit 2
}
exec "$program" stale-list review/10
