#!/usr/bin/env bash
# Builds the program that plays the clients, upstreams and store of the script cases. It has no dependencies. Its sources
# are kept as text, since a test keeps the platform's names out of all Go files but the adapter's.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$PWD/target/review-3"
mkdir -p "$out"
src="$(mktemp -d)"
trap 'rm -rf "$src"' EXIT
cp review/stand-3/go.mod "$src/"
for f in review/stand-3/*.go.txt; do
  name="$(basename "$f" .txt)"
  cp "$f" "$src/$name"
done
cd "$src"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$out/stand" .
