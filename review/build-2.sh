#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 and later start, into review/bin/, where a build of
# the deploy file leaves them alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/rig-2 ./review/rig2
