#!/bin/sh
# Moves a session route to another service and back while a session writes and reads.
# Run it after the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin3 moved review/14
