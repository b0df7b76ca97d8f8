#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/sardinelift.jar ] || [ ! -d target/review ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec java -Xmx512m -cp target/review:target/sardinelift.jar review.Case ItemHeaders review/5
