#!/usr/bin/env bash
# Plays the case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. With TROUBLE=0 it plays the same traffic without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/reviewcase ] || [ ! -x target/snipemoorfront ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
timeout --kill-after=2 115 target/reviewcase --case third-attempt --record review/2/record.txt --trouble="$trouble"
status=$?
if [ "$status" -gt 2 ]; then
	exit 2
fi
exit "$status"
