#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/rig ./review/rig
