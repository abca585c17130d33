#!/bin/sh
# Builds the stand-ins of the cases from 6 on. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
