#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out. Needs the build of the deploy file and review/build.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
driver=target/review/release/review-standins
[ -x "$driver" ] && [ -x target/release/basilbankd ] || { echo 'not built' >&2; exit 2; }
rm -f "$folder/record.txt"
# All processes of the case are in one group, which is ended with the script.
set -m
"$driver" silence "$folder/record.txt" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
trap 'exit 2' INT TERM
( sleep 110; kill -KILL -- -$group ) >/dev/null 2>&1 &
watchdog=$!
wait "$group"
code=$?
kill -KILL -- -$watchdog 2>/dev/null
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
