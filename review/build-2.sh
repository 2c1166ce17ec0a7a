#!/bin/sh
# Builds the programs of the cases 6 to 10 into bin/review-2. They contain the stand-ins of the store, the upstreams and the clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for dir in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$dir/main.go" ]; then
		go build -o "bin/review-2/$(basename "$dir")" "./$dir"
	fi
done
