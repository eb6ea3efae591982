#!/bin/sh
# Builds everything under target/, puts it into one jar without compression, then records which classes a start needs, so
# that later starts load them from an archive. A start that opens one jar instead of thirty is quicker. Without the archive
# the programs run all the same, only slower to start.
set -e
mvn -B -ntp -q -DskipTests package
dir=target/umbermount
rm -rf "$dir/rehearsal" "$dir/umbermount.jsa" "$dir/whole" "$dir/whole.jar"
mkdir -p "$dir/whole"
root=$(pwd)
for jar in "$dir"/lib/*.jar "$dir/umbermount.jar"; do
    (cd "$dir/whole" && jar xf "$root/$jar" && rm -rf META-INF/versions META-INF/*.SF META-INF/*.RSA module-info.class META-INF/maven)
    # Each library names its plug-ins in a file of the same name: they are joined.
    for list in "$dir"/whole/META-INF/services/*; do
        [ -f "$list" ] || continue
        mkdir -p "$dir/services"
        { cat "$list"; echo; } >>"$dir/services/$(basename "$list")"
        rm "$list"
    done
done
mkdir -p "$dir/whole/META-INF/services"
for list in "$dir"/services/*; do
    sort -u "$list" | grep . >"$dir/whole/META-INF/services/$(basename "$list")"
done
rm -rf "$dir/services"
printf 'Main-Class: org.umbermount.umbermount.Main\n' >"$dir/whole.manifest"
jar -c -f "$dir/whole.jar" -0 -m "$dir/whole.manifest" -C "$dir/whole" .
rm -rf "$dir/whole"
java -Xshare:auto -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit="$dir/umbermount.jsa" \
    -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true \
    -jar "$dir/whole.jar" rehearse "$dir/rehearsal" >"$dir/rehearsal.log" 2>&1 ||
    echo "No class archive could be made; see $dir/rehearsal.log."
