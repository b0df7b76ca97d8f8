#!/usr/bin/env bash
# Lists the classes that a gateway and a worker load in normal operation, for the class-data archive
# of the build. Runs both as processes against stand-ins and writes deploy/classes.lst.
set -euo pipefail
cd "$(dirname "$0")/.."
run_dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$run_dir"
}
trap cleanup EXIT

mvn -B -ntp -q -DskipTests package
jar=sardinelift/target/sardinelift-gateway.jar
base=${CLASS_LIST_PORT:-27600}

settings() {
  printf '{"role":"%s","instance":"%s","zone":"z1","internal":"127.0.0.1:%s","store":{"address":"127.0.0.1:%s"},"graceMs":1000%s}' \
    "$1" "$1" "$2" "$base" "$3" > "$run_dir/$1.json"
}
settings gateway $((base + 3)) ",\"caller\":\"127.0.0.1:$((base + 1))\",\"ready\":\"127.0.0.1:$((base + 2))\""
settings worker $((base + 4)) ""

for role in gateway worker; do
  java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:off -XX:DumpLoadedClassList="$run_dir/$role.lst" \
    -jar "$jar" --settings "$run_dir/$role.json" > "$run_dir/$role.out" &
  pids+=($!)
done
java -cp "$jar:platform/target/test-classes" org.sardinelift.platform.Rehearsal \
  "$base" $((base + 1)) $((base + 2)) $((base + 3)) $((base + 4))
for pid in "${pids[@]}"; do kill "$pid"; wait "$pid" || true; done
grep -h -v '^#' "$run_dir"/gateway.lst "$run_dir"/worker.lst | sort -u > deploy/classes.lst
echo "deploy/classes.lst: $(wc -l < deploy/classes.lst) lines"
