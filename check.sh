#!/bin/bash
# The project's one test command (see README.md): formatting, vet, tests, the
# deploy file's build, the limits of the decision module, and a start of both programs.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: these files are not formatted:" $unformatted >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
# The mesh's programs decide by clocks that no step of the time of day moves, so drydock needs none that do: nothing of theirs
# reads the time of day (lookout shows it, and decides nothing). And testing, that latchkit's drydock plays by, is in no daemon.
rooms=$(go list -f '{{range .GoFiles}}{{$.Dir}}/{{.}} {{end}}' $(go list -deps ./cmd/tug ./cmd/harbourmaster ./cmd/purser | grep '^saltmast/'))
if grep -nE '\.(Unix|UnixNano|UnixMilli|UnixMicro|UTC|Local|Format|AppendFormat|Weekday)\(|time\.(Unix|UnixMilli|UnixMicro|Date|Parse|ParseInLocation|LoadLocation)\b|CURRENT_TIME|strftime|ClockGettime' $rooms; then
	echo "the mesh's programs: the time of day is read" >&2
	exit 1
fi
if go list -deps ./cmd/violetlatch ./cmd/tug ./cmd/harbourmaster ./cmd/purser ./cmd/lookout | grep -x testing; then
	echo "a daemon links testing" >&2
	exit 1
fi
# What KNOWN-RED.txt names is printed and passed over, and nothing else: tests by their names, kinds of days by the rule that they break.
known_days=
known_tests=
if [ -f KNOWN-RED.txt ]; then
	cat KNOWN-RED.txt
	known_days=$(sed -n 's/^drydock \([a-z-]*:[A-Z]*\) .*/\1/p' KNOWN-RED.txt | paste -sd, -)
	known_tests=$( (sed -n 's/^test \([^ ]*\) .*/\1/p' KNOWN-RED.txt; sed -n 's/^drydock \([a-z-]*\):.*/TestDays\/^\1$/p' KNOWN-RED.txt) | paste -sd'|' -)
fi
skip=(${known_tests:+-skip "$known_tests"})

# The whole spaces of claims, ballots and connections, all of drydock's days and its flawed worlds go without the race detector: it plays a few
# of the days below.
go test -count=1 "${skip[@]}" . ./internal/consensus ./internal/idempotency ./internal/dataplane ./internal/rpc ./internal/simulation
# What a proxy takes of memory with 10,000 routes is only true without it.
go test -count=1 -run TestManyRoutes ./internal/integration
# A short run of the fuzzer, bounded by its count; what it ever found stands in testdata and is part of the tests.
go test -run='^$' -fuzz=FuzzScan -fuzztime=20000x ./internal/thrift
go test -run='^$' -fuzz=FuzzReaders -fuzztime=20000x ./internal/recording
go test -run='^$' -fuzz=FuzzHead -fuzztime=20000x ./internal/http1
go test -run='^$' -fuzz=FuzzDecode -fuzztime=20000x ./internal/maintenance
go test -run='^$' -fuzz=FuzzDecode -fuzztime=20000x ./internal/shared
go test -run='^$' -fuzz=FuzzReceive -fuzztime=20000x ./internal/membership
go test -run='^$' -fuzz=FuzzFrame -fuzztime=20000x ./internal/rpc
go test -run='^$' -fuzz=FuzzHop -fuzztime=20000x ./internal/dataplane
# Rehearsals watch their own lateness and play again what the machine was too busy for, and whole agents take a standstill of
# the machine for one of their backends, and a mesh of real processes waits for its disks: they get it to themselves.
go test -count=1 -race "${skip[@]}" $(go list ./internal/... ./cmd/... | grep -v -e /rehearsal$ -e /latchkit$ -e /agent$ -e /integration$)
go test -count=1 -race -p 1 "${skip[@]}" ./internal/agent ./internal/rehearsal ./internal/integration ./cmd/latchkit

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$build" ] || { echo "deploy/balancer.toml: no build command" >&2; exit 1; }
sh -c "$build"

# The files that decide: what the deploy file lists, together, and each file of internal/retry is listed.
policy=$(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '" ' | tr ',' '\n')
[ -n "$policy" ] || { echo "deploy/balancer.toml: policy names no file" >&2; exit 1; }
lines=0
for file in $policy; do
	[ -s "$file" ] || { echo "deploy/balancer.toml: policy: $file is missing or empty" >&2; exit 1; }
	lines=$((lines + $(grep -c '[^[:space:]]' "$file")))
	# A tab counts as four columns here, as in most editors.
	if expand -t 4 "$file" | grep -nE '^.{111,}'; then
		echo "$file: lines of over 110 columns" >&2
		exit 1
	fi
done
if [ "$lines" -gt 1200 ]; then
	echo "the policy files: $lines lines that are not blank, 1200 allowed" >&2
	exit 1
fi
for file in internal/retry/*.go; do
	case $file in *_test.go) continue ;; esac
	grep -qxF "$file" <<<"$policy" || { echo "deploy/balancer.toml: policy does not name $file" >&2; exit 1; }
done
echo "the policy files: $lines lines that are not blank"

# The adapter answers an empty batch; the agent starts, says where it listens, and stops when asked.
key() { sed -n "s/^$1 = \"\(.*\)\"\$/\1/p" deploy/balancer.toml; }
reply=$(printf '{"msg":"Frame","ClockMs":1}\n{"msg":"End"}\n' | sh -c "$(key sim)")
[ "$reply" = '{"msg":"Eor"}' ] || { echo "the adapter answered '$reply' to an empty batch" >&2; exit 1; }

dir=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
if GW_CONFIG="$dir/none.json" sh -c "$(key run)" 2>"$dir/log"; then
	echo "the agent starts without a configuration" >&2
	exit 1
fi
[ "$(wc -l <"$dir/log")" -eq 1 ] || { echo "not one plain line for a bad configuration:" >&2; cat "$dir/log" >&2; exit 1; }
cat >"$dir/config.json" <<'JSON'
{"name": "check", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
 "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": {"version": 1, "full": true, "servers": []},
 "settings": {"Balancers": 1, "Me": 0, "Contract": {"ColdFrom": 1}, "PolicyLimits": {"ConnectTimeoutMs": 250},
  "Profiles": [{"Name": "a", "AimMs": 100, "DeadlineMs": 500, "Worth": 1, "Semantics": "once"}]}}
JSON
GW_CONFIG="$dir/config.json" sh -c "$(key run)" 2>"$dir/log" &
pid=$!
for _ in $(seq 300); do
	grep -q 'msg=serving' "$dir/log" && break
	kill -0 "$pid" 2>/dev/null || break
	sleep 0.1
done
grep -q 'msg=serving' "$dir/log" || { echo "the agent does not start:" >&2; cat "$dir/log" >&2; exit 1; }
kill -TERM "$pid"
status=0
wait "$pid" || status=$?
pid=
[ "$status" -eq 0 ] || { echo "the agent ended with status $status:" >&2; cat "$dir/log" >&2; exit 1; }
echo "both programs start"

# Days of the mesh in virtual time, of each kind in turn by seeds that never change: in one to two minutes, by the cores there are.
bin/latchkit drydock --seed 1 --days 504 --floor --quiet --trials 60 ${known_days:+--pass-over "$known_days"}

# The days of a large fleet, small, on the model: the four rules and what is served, by seeds that never change.
bin/latchkit lab gate --agents 40 --seeds 1-2 --quiet
