#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -eu
cd "$(dirname "$0")/testdata/standin"
mkdir -p ../../bin
CGO_ENABLED=0 go build -o ../../bin/standin .
