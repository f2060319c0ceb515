#!/bin/sh
# Builds the stand-in that the scripts of the review start.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/stand ./review/_stand
