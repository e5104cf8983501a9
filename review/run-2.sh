#!/bin/sh
# Runs a case of the second review: run-2.sh FOLDER TEST. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. The record is FOLDER/record.txt.
cd "$(dirname "$0")/.." || exit 2
REVIEW_ROOT=$(pwd)
REVIEW_RECORD=$REVIEW_ROOT/$1/record.txt
export REVIEW_ROOT REVIEW_RECORD
rm -f "$REVIEW_RECORD"
for program in target/buckthornpick-relay target/review-2/cases.test; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: build the deploy file, then run review/build-2.sh"
		exit 2
	fi
done
target/review-2/cases.test -test.run "^$2\$" -test.timeout 110s
# Ends relays that are left if the test was cut short.
for pid in $(sed -n 's/.*relay .* started, pid \([0-9]*\)$/\1/p' "$REVIEW_RECORD" 2>/dev/null); do
	if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$REVIEW_ROOT/target/buckthornpick-relay" ]; then
		kill -9 "$pid"
	fi
done
case $(tail -n 1 "$REVIEW_RECORD" 2>/dev/null) in
"RESULT broken") exit 1 ;;
"RESULT held") exit 0 ;;
esac
exit 2
