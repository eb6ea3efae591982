#!/bin/sh
# Builds everything under target/, then records which classes a start needs, so that later starts load them
# from an archive. Without the archive the programs run all the same, only slower to start.
set -e
mvn -B -ntp -q -DskipTests package
dir=target/umbermount
rm -rf "$dir/rehearsal" "$dir/umbermount.jsa"
java -Xshare:auto -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit="$dir/umbermount.jsa" \
    -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true \
    -jar "$dir/umbermount.jar" rehearse "$dir/rehearsal" >"$dir/rehearsal.log" 2>&1 ||
    echo "No class archive could be made; see $dir/rehearsal.log."
