#!/usr/bin/env bash
# Plays the case once; review/build-3.sh has to be run first. Writes record.txt beside this file. TROUBLE=0 leaves the
# disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -d target/review-3 ] || exit 2
timeout -k 5 118 java -Xmx256m -cp 'target/review-3:target/gypsumflow.jar:target/lib/*' StartAfterBlockedLog review/11/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
