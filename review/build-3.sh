#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/standin ./review/standin3
