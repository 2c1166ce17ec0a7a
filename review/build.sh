#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/ ./cmd/redwingtally-standin ./review/rig
