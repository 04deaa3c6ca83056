#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 and later start. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -tags review -o target/review-2/rig ./review/rig2
