#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, into target/.
set -e
cd "$(dirname "$0")/.."
for n in 6 7; do
	go build -o "target/review-$n" "./review/$n"
done
