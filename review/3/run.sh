#!/usr/bin/env bash
# Plays the case "kept-after" against the built daemons. Exit 1: the rule was broken; 0: it held;
# 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review-rig kept-after review/3
