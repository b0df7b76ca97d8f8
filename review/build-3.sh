#!/bin/sh
# Builds the stand-ins and the clients of the scripts in review/11 to review/15. Needs the build of
# the deploy file for the project's own programs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
