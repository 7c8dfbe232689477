#!/bin/sh
# Builds the stand-ins of the third review. The build of deploy/system.toml builds the programs under test.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/rig3 ./review/rig3
