#!/usr/bin/env bash
# Starts one user's query and order service with 9 entry hosts in three failure
# domains as processes on loopback, sends a load, prints its summary and stops
# all processes. With --keep it leaves them running. With --site it starts the
# platform's store, backend servers and six hosts as a prepared platform has them.
set -Eeuo pipefail
cd "$(dirname "$0")/.."

keep=false
user=kitanoiri
site=false
while [ $# -gt 0 ]; do
  case "$1" in
    --keep) keep=true ;;
    --site) site=true ;;
    --user) user="$2"; shift ;;
    *) echo "usage: quickstart.sh [--keep] [--site] [--user kitanoiri|crumb-tier]" >&2; exit 2 ;;
  esac
  shift
done

dir=$(mktemp -d)
pids=()
names=()

start() {
  local name="$1"
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=("$!")
  names+=("$name")
}

# stop ends the processes with the given places in pids and checks their exit codes.
stop() {
  local failed=0
  for i in "$@"; do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
  done
  for i in "$@"; do
    local code=0
    wait "${pids[$i]}" || code=$?
    if [ "$code" -ne 0 ]; then
      echo "${names[$i]} ended with $code:" >&2
      tail -n 5 "$dir/${names[$i]}.log" >&2
      failed=1
    fi
  done
  return "$failed"
}

# stop_all ends the platform, which is the first, after all others.
stop_all() {
  local others=("${!pids[@]}")
  stop "${others[@]:1}"
  stop 0
}

# give_up ends what was started when the script fails in the middle.
give_up() {
  if [ "${#pids[@]}" -gt 0 ]; then
    kill -KILL "${pids[@]}" 2>/dev/null || true
  fi
}
trap give_up ERR INT TERM

go build -o "$dir/bin/" ./cmd/...
start_site() {
  start platform "$dir/bin/lab" site --dir "$dir"
  for _ in $(seq 50); do
    [ -s "$dir/site.json" ] && break
    sleep 0.1
  done
  for settings in "$dir"/*.host.jsonc; do
    start "$(basename "$settings" .jsonc)" "$dir/bin/rhubarbpost" host --settings "$settings"
  done
  "$dir/bin/lab" call --site "$dir/site.json"
  running="caller addresses in $dir/site.json"
}

start_user() {
  "$dir/bin/lab" layout --user "$user" --dir "$dir"
  platform=$(sed -n 's/.*"platform": "\(.*\)".*/\1/p' "$dir/addresses.json")
  console=$(sed -n 's/.*"console": "\(.*\)".*/\1/p' "$dir/addresses.json")

  start platform "$dir/bin/lab" platform --listen "$platform"
  for settings in "$dir"/*.agent.jsonc; do
    start "$(basename "$settings" .jsonc)" "$dir/bin/rhubarbpost" agent --settings "$settings"
  done
  for settings in "$dir"/*.entry.jsonc; do
    start "$(basename "$settings" .jsonc)" "$dir/bin/rhubarbpost" entry --settings "$settings"
  done
  start console "$dir/bin/rhubarbpost" console --settings "$dir/console.jsonc"
  for settings in "$dir"/*.searchers.jsonc; do
    start "$(basename "$settings" .jsonc)" "$dir/bin/lab" searcher --settings "$settings"
  done
  for _ in $(seq 50); do
    "$dir/bin/rhubarbpost" config apply "examples/$user.jsonc" --platform "$platform" --reason quickstart >"$dir/apply.log" 2>&1 && break
    sleep 0.1
  done
  cat "$dir/apply.log" | tail -n 1

  "$dir/bin/lab" load --settings "$dir/load.jsonc"
  running="platform $platform, console http://$console/"
}

if "$site"; then
  start_site
else
  start_user
fi

if "$keep"; then
  trap - ERR INT TERM
  echo "running: $running, settings and logs in $dir"
  echo "stop with: kill -TERM ${pids[*]}"
  exit 0
fi
stop_all
echo "all ${#pids[@]} processes ended with 0"
rm -rf "$dir"
