#!/bin/sh
# Builds bin/standin2, the stand-ins of the cases 6 to 10; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/standin2 ./review/testdata/standin2
