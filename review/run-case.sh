#!/bin/sh
# run-case.sh FOLDER CASE runs a case of review/rig. It writes FOLDER/record.txt and exits with
# 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/marjoramspan review/bin/rig; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
export CASE="$2" FOLDER="$folder" PROGRAM="$PWD/target/marjoramspan"
exec review/bin/rig
