#!/bin/sh
# Builds the stand-in of the scripts in review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/_standin3
