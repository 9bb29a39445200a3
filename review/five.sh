#!/bin/sh
# Runs one case five times with its disruption and once without, and prints the exit statuses: five.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
    ./run.sh >/dev/null 2>&1
    printf '%s ' $?
done
TROUBLE=0 ./run.sh >/dev/null 2>&1
printf '/ TROUBLE=0: %s\n' $?
