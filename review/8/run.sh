#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/case-8
[ -x "$case" ] && [ -x target/dist/bulrushward-directd ] || { echo "build first: deploy/system.toml and review/build-2.sh" >&2; exit 2; }
exec timeout -k 2 115 "$case" review/8/record.txt
