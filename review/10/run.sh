#!/usr/bin/env bash
# Plays the case on loopback; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 stop-calls review/10
