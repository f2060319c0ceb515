#!/bin/sh
# Builds the stand-in of the cases 11 to 15 into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig-3 ./review/_rig
