#!/usr/bin/env bash
# Builds the program that plays the clients, upstreams and stores of the script cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
GOWORK=off go build -o ../../target/stand-3 .
