#!/bin/sh
# Compiles the stand-ins and scripts of the second review against the built jar.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/standins-2/classes
javac -nowarn -cp target/sardinelift.jar -d review/standins-2/classes review/standins-2/*.java
