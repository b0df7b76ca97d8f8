#!/usr/bin/env bash
# Injects random faults into a fleet of processes. Usage: scripts/soak.sh [SEED...]; without a seed,
# the current time is used. SOAK_SECONDS, SOAK_ZONES and SOAK_GATEWAYS (per zone) set duration and
# size, SOAK_LOGS the folder for the logs of each seed. Needs a built workspace (mvn package).
set -euo pipefail
cd "$(dirname "$0")/.."
jar=sardinelift/target/sardinelift.jar
logs=${SOAK_LOGS:-target/soak}
[ $# -gt 0 ] || set -- "$(date +%s)"
failed=0
for seed in "$@"; do
  java -Xmx512m -Dtinylog.level=warn -cp "$jar:platform/target/test-classes" org.sardinelift.platform.Soak \
    "$seed" "${SOAK_SECONDS:-25}" "${SOAK_ZONES:-3}" "${SOAK_GATEWAYS:-2}" "$logs/$seed" \
    java -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "$jar" || failed=1
done
exit $failed
