#!/usr/bin/env bash
# A zone is taken out while the store gives its machines no answer.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/spard ] && [ -x target/review/stand ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review/stand evac "review/5"
