#!/usr/bin/env bash
# Builds the program that plays the platform, the servers and the callers of the scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness review/harness/*.go
