#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need nothing but the standard library. The sources are kept as text,
# since the stand-ins speak the platform's protocol and a test keeps its names out of all Go files but the adapter's.
set -euo pipefail
cd "$(dirname "$0")/.."
src=target/review/src
rm -rf "$src"
mkdir -p "$src"
cp review/stand/go.mod "$src/"
for f in review/stand/*.go.txt; do
	cp "$f" "$src/$(basename "$f" .txt)"
done
cd "$src"
GOWORK=off GOPROXY=off go build -o ../stand .
