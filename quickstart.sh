#!/usr/bin/env bash
# Builds sardinelift, starts a whole fleet against stand-ins as separate processes on loopback,
# sends a few online calls and one batch job through it, prints the answers and stops all processes.
set -euo pipefail
cd "$(dirname "$0")"
source scripts/fleet.sh

echo "Building ..."
build

echo "Starting stand-ins ..."
platform
start engine-1 standins engine --models registry-llm --slots 8
start engine-2 standins engine --models registry-llm --slots 8
start tags standins plain

echo "Starting companions and entries ..."
companion companion-1 moreton engine-1 registry true '["registry-llm"]'
companion companion-2 hinchinbrook engine-2 registry true '["registry-llm"]'
companion companion-3 moreton tags tags false
entry entry-1 moreton
entry entry-2 hinchinbrook

entries="127.0.0.1:$(port entry-1 operators),127.0.0.1:$(port entry-2 operators)"
export SARDINELIFT_OPERATORS="$entries"
export SARDINELIFT_ENTRY="127.0.0.1:$(port entry-1 caller)"

echo "Applying the configuration and waiting until both entries have it in force ..."
ctl apply -f examples/registry.json --wait
SARDINELIFT_KEY=$(issue compliance)
export SARDINELIFT_KEY

echo "Waiting until the key is in force ..."
await_key "$SARDINELIFT_KEY"

echo "Three online calls:"
for tag in 4711 4712 4713; do
  ctl ask --model registry-llm --max-tokens 8 "Whose float carries tag $tag?"
done

echo "One batch job through the first entry, read back through the second:"
for item in 1 2 3 4 5; do
  printf '{"custom_id":"notice-%s","method":"POST","url":"/v1/chat/completions","body":{"model":"registry-llm","max_tokens":6,"messages":[{"role":"user","content":"Draft notice %s"}]}}\n' "$item" "$item"
done > "$run_dir/job.jsonl"
job=$(ctl batch submit --job-key quickstart-1 --output json "$run_dir/job.jsonl" | sed -n 's/.*"id" *: *"\([^"]*\)".*/\1/p')
SARDINELIFT_ENTRY="127.0.0.1:$(port entry-2 caller)"
for _ in $(seq 50); do
  ctl batch status "$job" > "$run_dir/status.out"
  grep -Eq '"status" *: *"completed"' "$run_dir/status.out" && break
  sleep 0.2
done
cat "$run_dir/status.out"
ctl batch results "$job"

echo "The fleet:"
ctl status
echo "Done; stopping what was started."
