#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review/rig ] || exit 2
exec bin/review/rig --record review/3/record.txt forged
