#!/bin/sh
# Builds the program of the scripts of the cases 11 to 15 into bin/review-3. It contains the stand-ins of the store, the upstreams
# and the clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-3
go build -o bin/review-3/rig3 ./review/rig3
