#!/usr/bin/env bash
# Builds the stand-ins of all scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
