#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs target/release/basilbankd and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
lab=review/lab/target/release/review_lab
[ -x "$lab" ] && [ -x target/release/basilbankd ] || exit 2
exec "$lab" rejoined "$PWD" "$PWD/review/8"
