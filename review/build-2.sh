#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$PWD/target/review-2"
mkdir -p "$out"
src="$(mktemp -d)"
trap 'rm -rf "$src"' EXIT
cp review/stand-2/go.mod "$src/"
for f in review/stand-2/*.go.txt; do
  name="$(basename "$f" .txt)"
  cp "$f" "$src/$name"
done
cd "$src"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$out/stand" .
