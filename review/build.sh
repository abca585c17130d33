#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build line of deploy/system.toml. It needs Go and nothing else.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
