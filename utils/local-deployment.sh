# Starts and stops a complete deployment on this host; sourced by
# utils/run-local, utils/bench/path and test/run-processes. Needs the binaries
# ospreyspur and ospreyspur-standin in build/.

dir=$(mktemp -d)
pids=()
declare -A pid_of
key=rider-key
token=operator-token
platform=127.0.0.1:7000
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
launch() { # name, then the command
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}
launch_agent() { # endpoint
  launch "$1" build/ospreyspur agent --settings "$dir/$1.ini"
}
launch_entry() { # number
  launch "entry-$1" build/ospreyspur entry --settings "$dir/entry-$1.ini"
}
kill_hard() { # name
  kill -9 "${pid_of[$1]}" 2>/dev/null
  wait "${pid_of[$1]}" 2>/dev/null || true
}
stop_all() {
  local i
  # In reverse order of the start: entries before agents, so that requests in
  # flight finish.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
}
trap stop_all EXIT
lock_step_count() { # prints an integer field of the engines' lock-step statistics
  curl -fsS http://127.0.0.1:7101/fabric | grep -oE "\"$1\":[0-9]+" | cut -d: -f2
}
wait_ready() { # admin address
  local n
  for n in $(seq 1 100); do
    curl -fsS "http://$1/ready" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "no process became ready on $1; logs are in $dir" >&2
  return 1
}

cat >"$dir/config.json" <<JSON
{"workspaces": {"riders": {"key_sha256": "$(digest $key)", "weight": 2,
                           "labels": {"team": "assist"}}},
 "services": {"assistant": {"kind": "model"}, "fleet": {"kind": "plain"}},
 "events": {"dusk": {"start_unix": 1798761600, "duration_s": 3600,
                     "selector": "team=assist"}}}
JSON
agent() { # endpoint, service, data centre, group, number
  local n=$5
  cat >"$dir/$1.ini" <<INI
[process]
data_centre = $3
platform = $platform
admin_listen = 127.0.0.1:$((7400 + n))
admin_token_sha256 = $(digest $token)
[agent]
endpoint_name = $1
listen = 127.0.0.1:$((7200 + n))
endpoint = 127.0.0.1:$((7100 + n))
group = $4
[group]
plan_interval_ms = ${plan_interval_ms:-30000}
INI
  hosts+="${hosts:+,}{\"endpoint\":\"$1\",\"service\":\"$2\",\"data_centre\":\"$3\","
  hosts+="\"agent\":\"127.0.0.1:$((7200 + n))\",\"group\":\"$4\"}"
}
hosts=""
agent assistant-1 assistant osborne wing 1
agent assistant-2 assistant osborne wing 2
agent assistant-3 assistant malaga wing 3
agent assistant-4 assistant malaga wing 4
agent fleet-1 fleet osborne "" 5
agent fleet-2 fleet malaga "" 6
echo "[$hosts]" >"$dir/hosts.json"

standin=build/ospreyspur-standin
launch platform $standin platform -a $platform \
  --preload "ospreyspur/config=$dir/config.json" \
  --preload "platform/hosts=$dir/hosts.json"
launch group $standin group -a 127.0.0.1:7101 -a 127.0.0.1:7102 \
  -a 127.0.0.1:7103 -a 127.0.0.1:7104
launch fleet-1-service $standin service -a 127.0.0.1:7105
launch fleet-2-service $standin service -a 127.0.0.1:7106
for name in assistant-1 assistant-2 assistant-3 assistant-4 fleet-1 fleet-2; do
  launch_agent "$name"
done
for n in 1 2; do
  cat >"$dir/entry-$n.ini" <<INI
[process]
data_centre = $([ $n = 1 ] && echo osborne || echo malaga)
platform = $platform
admin_listen = 127.0.0.1:$((7310 + n))
admin_token_sha256 = $(digest $token)
peers = 127.0.0.1:7201, 127.0.0.1:7203, 127.0.0.1:7206
[entry]
listen = 127.0.0.1:$((7300 + n))
probe_timeout_ms = ${probe_timeout_ms:-60}
INI
  launch_entry "$n"
done
for port in 7311 7312 7401 7402 7403 7404 7405 7406; do
  wait_ready "127.0.0.1:$port"
done
# Engines step once their group is formed.
for n in $(seq 1 300); do
  [ "$(lock_step_count steps)" -gt 0 ] && break
  sleep 0.1
done

