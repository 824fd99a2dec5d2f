#!/bin/sh
# Builds the stand-ins that the scripts start.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS= GOWORK=off go build -o ../../target/review-standin .
