#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/standins.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review-3
separator='{"Replace": {'
for file in review/.standins-3/*_test.go; do
	printf '%s"%s/platform/review3_%s": "%s/%s"' "$separator" "$root" "$(basename "$file")" "$root" "$file"
	separator=', '
done >target/review-3/overlay.json
printf '}}\n' >>target/review-3/overlay.json
go test -c -tags review -overlay target/review-3/overlay.json -o target/review-3/standins ./platform
