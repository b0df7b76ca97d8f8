#!/bin/sh
# Builds the server and puts it where the deploy file looks for it.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests package
mkdir -p target
cp sardinelift/target/sardinelift.jar target/sardinelift.jar
