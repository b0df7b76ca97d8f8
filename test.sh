#!/usr/bin/env bash
# Builds all modules, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
exec mvn -B -ntp verify
