#!/bin/sh
# Plays the case once and writes record.txt beside this file. Exit code 1: the rule was broken; 0: it held; 2: the
# case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=review/standins/target/release/cut_body
if [ ! -x target/release/grebehook ] || [ ! -x "$program" ]; then
    echo "build the gateway with the command of the deploy file, and the stand-ins with review/build.sh" >&2
    exit 2
fi
"$program" "$here/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
