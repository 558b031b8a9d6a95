#!/bin/bash
# The project's one test command (see README.md): formatting, vet, tests, the
# deploy file's build, and the limits of the decision module.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: these files are not formatted:" $unformatted >&2
	exit 1
fi
go vet ./...
go test -count=1 ./...

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$build" ] || { echo "deploy/balancer.toml: no build command" >&2; exit 1; }
sh -c "$build"
[ -x bin/simhost ] || { echo "the build left no bin/simhost" >&2; exit 1; }

policy=$(sed -n 's/^policy = \["\(.*\)"\]$/\1/p' deploy/balancer.toml)
[ -s "$policy" ] || { echo "deploy/balancer.toml: policy names no file" >&2; exit 1; }
lines=$(grep -c '[^[:space:]]' "$policy")
if [ "$lines" -gt 910 ]; then
	echo "$policy: $lines lines that are not blank, 910 allowed" >&2
	exit 1
fi
# A tab counts as four columns here, as in most editors.
if expand -t 4 "$policy" | grep -nE '^.{111,}'; then
	echo "$policy: lines of over 110 columns" >&2
	exit 1
fi
echo "$policy: $lines lines that are not blank"
