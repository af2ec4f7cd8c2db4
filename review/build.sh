#!/bin/sh
# Builds the stand-ins of the cases. The deploy file's own build comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -tags review -c -o target/review/testbed ./review/testbed
