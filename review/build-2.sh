#!/bin/sh
# Builds the stand-ins of the second review into target/, from the root of the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/stage-2 ./review/stage-2
