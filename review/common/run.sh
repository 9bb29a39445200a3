#!/bin/sh
# Runs the driver of one case: common/run.sh FOLDER CLASS. Exit status: 1 rule broken, 0 held, 2 could not run.
# The driver says 20 for held and 21 for broken, so that a Java launcher that fails is never taken for a broken rule.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
if [ ! -d "$root/review/out" ] || [ ! -f "$root/node/target/fawnlb.jar" ]; then
    echo "build the program and run review/build.sh first" >&2
    exit 2
fi
driver=
trap 'test -n "$driver" && kill "$driver"; wait; rm -rf "$temporary"; exit 2' HUP INT TERM
timeout 115 java -Xmx512m -cp "$root/review/out" "$2" "$root" "$folder" "$temporary" &
driver=$!
wait "$driver"
status=$?
case $status in 20) exit 0 ;; 21) exit 1 ;; *) exit 2 ;; esac
