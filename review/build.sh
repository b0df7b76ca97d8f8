#!/bin/sh
# Compiles the stand-ins of the cases to target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp target/sardinelift.jar review/standins/review/*.java
