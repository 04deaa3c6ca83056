#!/bin/sh
# Runs the case in the root of the repository, after the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marjoramspan ] && [ -x review/bin/rig3 ] || exit 2
exec review/bin/rig3 renamed-route review/14
