#!/bin/bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -tags review -o target/review/standins review/.standins/*.go
