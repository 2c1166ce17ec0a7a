#!/usr/bin/env bash
# Starts stand-ins and three daemons as processes, applies the demo's records,
# sends requests, kills a target and a daemon under way, and prints what the
# callers saw. Exits non-zero when a promise was broken.
set -eu
cd "$(dirname "$0")/.."
duration=${DEMO_DURATION:-15}
work=.demo
rm -rf "$work" && mkdir -p "$work" bin
go build -o bin/ ./cmd/...

pids=()
start() { # name, command...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}
finish() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
}
trap finish EXIT

start platform bin/redwingtally-standin platform --address 127.0.0.1:21000 --host-lag 500ms
target() { # name, first port, count, flags...
  start "$1" bin/redwingtally-standin target --name "$1" --address "127.0.0.1:$2" --count "$3" --journal "$work/runs" "${@:4}"
}
start stockroom-1 bin/redwingtally-standin target --name stockroom-1 --address 127.0.0.1:21100 --checks-grants --journal "$work/runs"
stockroom1=$last
for i in 2 3 4 5 6 7 8 9; do
  start "stockroom-$i" bin/redwingtally-standin target --name "stockroom-$i" --address "127.0.0.1:$((21099 + i))" --checks-grants --journal "$work/runs"
done
target ledgerwax 21120 8
target lightbox 21130 8
target waxarchive 21140 8
target carte 21200 10
target chantier 21220 8
target photos 21230 8
target archives 21240 11

centres=(leicester derby nottingham)
hosts=""
for i in 1 2 3; do
  cat >"$work/daemon-$i.yaml" <<S
host: entry-$i
data_centre: ${centres[$((i - 1))]}
entry_address: 127.0.0.1:$((22000 + i))
forward_address: 127.0.0.1:$((22010 + i))
control_address: 127.0.0.1:$((22020 + i))
platform_address: 127.0.0.1:21000
shutdown_timeout: 20s
S
  hosts="$hosts${hosts:+,}{\"name\":\"entry-$i\",\"data_centre\":\"${centres[$((i - 1))]}\",\"control\":\"127.0.0.1:$((22020 + i))\",\"state\":\"live\"}"
  bin/redwingtally check-settings "$work/daemon-$i.yaml" >/dev/null
done
until bash -c 'exec 3<>/dev/tcp/127.0.0.1/21000' 2>/dev/null; do sleep 0.05; done
body="[$hosts]"
exec 3<>/dev/tcp/127.0.0.1/21000
printf 'PUT /standin/hosts HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "${#body}" "$body" >&3
cat <&3 >/dev/null
exec 3>&-
declare -A daemon
for i in 1 2 3; do
  start "daemon-$i" bin/redwingtallyd --settings "$work/daemon-$i.yaml"
  daemon[$i]=$last
done

export REDWINGTALLY_PLATFORM=127.0.0.1:21000
sleep 1
bin/redwingtally apply --wait 10s demo/records/midlands.yaml demo/records/finistere.yaml | tail -1
sleep 2

echo "sending for ${duration}s; stockroom-1 is killed and comes back, then entry-2 is killed and comes back, then entry-3 is restarted"
bin/redwingtally-lab load --duration "${duration}s" --journal "$work/runs" \
  --entry 127.0.0.1:22001 --entry 127.0.0.1:22002 --entry 127.0.0.1:22003 >"$work/report" 2>&1 &
load=$!
pids+=("$load")
sleep 3
kill -KILL "$stockroom1"
sleep 2
start stockroom-1b bin/redwingtally-standin target --name stockroom-1 --address 127.0.0.1:21100 --checks-grants --journal "$work/runs"
kill -KILL "${daemon[2]}"
sleep 3
start daemon-2b bin/redwingtallyd --settings "$work/daemon-2.yaml"
sleep 2
kill -TERM "${daemon[3]}"
wait "${daemon[3]}" || true
start daemon-3b bin/redwingtallyd --settings "$work/daemon-3.yaml"
result=0
wait "$load" || result=$?
cat "$work/report"
bin/redwingtally status --daemon 127.0.0.1:22021 >"$work/status.json"
exit "$result"
