#!/bin/sh
# Builds the server and copies it to the path that the deploy file names, with a class-data archive
# that halves the CPU time of a start. scripts/class-list.sh creates deploy/classes.lst.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests package
mkdir -p target
cp sardinelift/target/sardinelift-gateway.jar target/sardinelift.jar
rm -f target/sardinelift.jsa
java -Xshare:dump -Xlog:cds=error -XX:+UseSerialGC -XX:SharedClassListFile=deploy/classes.lst \
  -XX:SharedArchiveFile=target/sardinelift.jsa -jar target/sardinelift.jar > target/archive.log 2>&1 \
  || { cat target/archive.log; exit 1; }
