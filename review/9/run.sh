#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/spard ] && [ -x target/review-2/stand ] || { echo "build first"; exit 2; }
exec target/review-2/stand departed "$PWD" "$PWD/review/9"
