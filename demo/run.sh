#!/usr/bin/env bash
# Starts the stand-in platform, stand-in targets and three daemons, applies the
# records of the demo and sends requests. Meanwhile it kills and restarts a target
# and a daemon and restarts another daemon gracefully. Prints the callers' report
# and exits non-zero if a guarantee was violated.
set -eu
cd "$(dirname "$0")/.."
duration=${DEMO_DURATION:-15}
work_dir=.demo
rm -rf "$work_dir" && mkdir -p "$work_dir" bin
go build -o bin/ ./cmd/...

pids=()
# start NAME COMMAND... runs a command in the background, with its output in a log.
start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}
stop_all() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
}
trap stop_all EXIT

start platform bin/redwingtally-standin platform --address 127.0.0.1:21000 --host-lag 500ms
# start_targets NAME FIRST_PORT COUNT [FLAG...] starts a process with COUNT targets.
start_targets() {
  start "$1" bin/redwingtally-standin target --name "$1" --address "127.0.0.1:$2" --count "$3" --journal "$work_dir/runs" "${@:4}"
}
start stockroom-1 bin/redwingtally-standin target --name stockroom-1 --address 127.0.0.1:21100 --checks-grants --journal "$work_dir/runs"
stockroom1_pid=$last_pid
for i in 2 3 4 5 6 7 8 9; do
  start "stockroom-$i" bin/redwingtally-standin target --name "stockroom-$i" --address "127.0.0.1:$((21099 + i))" --checks-grants --journal "$work_dir/runs"
done
start_targets ledgerwax 21120 8
start_targets lightbox 21130 8
start_targets waxarchive 21140 8
start_targets carte 21200 10
start_targets chantier 21220 8
start_targets photos 21230 8
start_targets archives 21240 11

centres=(leicester derby nottingham)
hosts=""
for i in 1 2 3; do
  cat >"$work_dir/daemon-$i.yaml" <<SETTINGS
host: entry-$i
data_centre: ${centres[$((i - 1))]}
entry_address: 127.0.0.1:$((22000 + i))
forward_address: 127.0.0.1:$((22010 + i))
control_address: 127.0.0.1:$((22020 + i))
platform_address: 127.0.0.1:21000
shutdown_timeout: 20s
SETTINGS
  hosts="$hosts${hosts:+,}{\"name\":\"entry-$i\",\"data_centre\":\"${centres[$((i - 1))]}\",\"control\":\"127.0.0.1:$((22020 + i))\",\"state\":\"live\"}"
  bin/redwingtally check-settings "$work_dir/daemon-$i.yaml" >/dev/null
done
until bash -c 'exec 3<>/dev/tcp/127.0.0.1/21000' 2>/dev/null; do sleep 0.05; done
body="[$hosts]"
exec 3<>/dev/tcp/127.0.0.1/21000
printf 'PUT /standin/hosts HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "${#body}" "$body" >&3
cat <&3 >/dev/null
exec 3>&-
declare -A daemon_pids
for i in 1 2 3; do
  start "daemon-$i" bin/redwingtallyd --settings "$work_dir/daemon-$i.yaml"
  daemon_pids[$i]=$last_pid
done

export REDWINGTALLY_PLATFORM=127.0.0.1:21000
sleep 1
bin/redwingtally apply --wait 10s demo/records/midlands.yaml demo/records/finistere.yaml | tail -1
sleep 2

echo "sending requests for ${duration}s: stockroom-1 is killed and restarted, then entry-2 is killed and restarted, then entry-3 is restarted gracefully"
bin/redwingtally-lab load --duration "${duration}s" --journal "$work_dir/runs" \
  --entry 127.0.0.1:22001 --entry 127.0.0.1:22002 --entry 127.0.0.1:22003 >"$work_dir/report" 2>&1 &
load_pid=$!
pids+=("$load_pid")
sleep 3
kill -KILL "$stockroom1_pid"
sleep 2
start stockroom-1b bin/redwingtally-standin target --name stockroom-1 --address 127.0.0.1:21100 --checks-grants --journal "$work_dir/runs"
kill -KILL "${daemon_pids[2]}"
sleep 3
start daemon-2b bin/redwingtallyd --settings "$work_dir/daemon-2.yaml"
sleep 2
kill -TERM "${daemon_pids[3]}"
wait "${daemon_pids[3]}" || true
start daemon-3b bin/redwingtallyd --settings "$work_dir/daemon-3.yaml"
status=0
wait "$load_pid" || status=$?
cat "$work_dir/report"
bin/redwingtally status --daemon 127.0.0.1:22021 >"$work_dir/status.json"
exit "$status"
