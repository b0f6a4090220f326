#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
out=$PWD/target/review/stand
cd review/stand
GOWORK=off GOPROXY=off go build -o "$out" .
