#!/bin/sh
# Builds the stand-ins that the cases start. The daemons are built by the deploy file.
cd "$(dirname "$0")/.." && exec go build -o target/ ./review/rig
