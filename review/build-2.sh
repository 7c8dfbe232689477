#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts as target/rig2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
