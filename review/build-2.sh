#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/rig2
