#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/buckthornpick-relay ] && [ -x target/review-3/standins ] || exit 2
export TROUBLE=${TROUBLE:-1} REVIEW_RECORD="$here/record.txt" REVIEW_PROGRAM="$PWD/target/buckthornpick-relay"
timeout -k 5 110 target/review-3/standins -test.run '^TestReviewCase15$' -test.timeout 105s
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
