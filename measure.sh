#!/usr/bin/env bash
# Starts a fleet against stand-ins and measures it. The argument names the measurement: measures
# (the default: batch throughput, tail latency of online calls, worst-served team, wrong refusals),
# latency (added by entry and companion), or throughput (of one entry and one companion).
set -euo pipefail
cd "$(dirname "$0")"
source scripts/fleet.sh

readonly RESULTS=target/bench
readonly ENGINES=4
readonly TEAMS=(
  # name rate burst offered-multiple
  "patrol 40 40 1" "wharf 30 30 1" "compliance 10 10 1" "licensing 8 8 1"
  "audit 5 5 1" "training 5 5 1" "archive 2 4 1" "import 10 10 5"
)

bench() { java -Xmx512m -jar bench/target/bench.jar "$@" --out "$RESULTS"; }

# teams_file: prints a configuration with one team per row of TEAMS
teams_file() {
  local rows="" row name rate burst
  for row in "${TEAMS[@]}"; do
    read -r name rate burst _ <<< "$row"
    rows+=",{\"kind\":\"team\",\"name\":\"$name\",\"value\":{\"template\":\"standard\",\"ratePerSecond\":$rate,\"burst\":$burst}}"
  done
  cat <<OBJECTS
{"objects":[
  {"kind":"template","name":"standard","value":{"ratePerSecond":100000,"burst":100000,"models":["registry-llm"]}},
  {"kind":"team","name":"measured","value":{"template":"standard"}},
  {"kind":"service","name":"registry","value":{"engine":true,"models":["registry-llm"]}}
  $rows
]}
OBJECTS
}

configure() {
  teams_file > "$run_dir/teams.json"
  ctl apply -f "$run_dir/teams.json" > "$run_dir/apply.out"
  SARDINELIFT_ENTRY="127.0.0.1:$(port entry-1 caller)"
  export SARDINELIFT_ENTRY
  key=$(issue measured)
  await_key "$key"
}

# one_path ENGINE-OPTIONS...: starts and configures one engine, one companion and one entry
one_path() {
  start engine-1 standins engine --models registry-llm --slots "$SLOTS" "$@"
  companion companion-1 moreton engine-1 registry true '["registry-llm"]'
  entry entry-1 moreton
  configure
  pids_of="entry=${pid_of[entry-1]},companion=${pid_of[companion-1]}"
}

measure_measures() {
  local engines="" teams="" row name rate burst offered team_key i
  for i in $(seq "$ENGINES"); do
    start "engine-$i" standins engine --models registry-llm --slots 8
    companion "companion-$i" moreton "engine-$i" registry true '["registry-llm"]'
    engines+=",127.0.0.1:$(port "engine-$i" address)"
  done
  entry entry-1 moreton
  entry entry-2 moreton
  configure
  for row in "${TEAMS[@]}"; do
    read -r name rate burst offered <<< "$row"
    team_key=$(issue "$name")
    teams+=",$name=$team_key:$rate:$burst:$offered"
  done
  await_key "$team_key"
  bench measures --entries "$SARDINELIFT_ENTRY,127.0.0.1:$(port entry-2 caller)" \
    --direct "${engines:1}" --teams "${teams:1}" --batch-key "$key" --batch-items 20000 "$@"
}

measure_latency() {
  SLOTS=64
  one_path
  bench latency --entry "$SARDINELIFT_ENTRY" --direct "127.0.0.1:$(port engine-1 address)" \
    --key "$key" --pids "$pids_of" "$@"
}

measure_throughput() {
  SLOTS=256
  one_path --token-us 200 --prefill-us 1
  bench throughput --entry "$SARDINELIFT_ENTRY" --direct "127.0.0.1:$(port engine-1 address)" \
    --key "$key" --pids "$pids_of" "$@"
}

build
platform
measurement=${1:-measures}
shift || true
"measure_$measurement" "$@"
