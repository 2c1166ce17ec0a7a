#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-3/rig3 ] && [ -x target/redwingtally-edge ] || exit 2
exec bin/review-3/rig3 removed review/13/record.txt
