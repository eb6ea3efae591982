#!/bin/sh
# Builds everything under target/, puts it into one jar without compression, then records which classes a start needs, so
# that later starts load them from an archive. A start that opens one jar instead of thirty is quicker. Without the archive
# the programs run all the same, only slower to start.
set -e
mvn -B -ntp -q -DskipTests package
dir=target/app
rm -rf "$dir/rehearsal" "$dir/umbermount.jsa" "$dir/whole" "$dir/whole.jar" "$dir/daemon.jar" "$dir/near.txt" "$dir/near.list"
mkdir -p "$dir/whole"
root=$(pwd)
for jar in "$dir"/lib/*.jar "$dir/umbermount.jar"; do
    # The simulation, and the fakes that it plays with, are for developers: no daemon opens them.
    case $jar in
        */simulation-*.jar | *-tests.jar) continue ;;
    esac
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
# What the parts of a program are, in one place: a start that finds this need not look through every jar for them.
mkdir -p "$dir/whole/META-INF/umbermount"
cp "$dir/whole/META-INF/services/org.umbermount.kernel.Plugin" "$dir/whole/META-INF/umbermount/departments"
printf 'Main-Class: org.umbermount.app.Main\n' >"$dir/whole.manifest"
jar -c -f "$dir/whole.jar" -0 -m "$dir/whole.manifest" -C "$dir/whole" .
flags="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true"
# Runs a rehearsal with the given options of the JVM. It is repeated where it fails, as it may on a full machine: a rehearsal
# that was cut short leaves out most classes, and then every start of every daemon pays for them.
rehearse() {
    for attempt in 1 2 3; do
        rm -rf "$dir/rehearsal" "$dir/umbermount.jsa"
        if java -Xshare:auto $flags "$@" rehearse "$dir/rehearsal" >"$dir/rehearsal.log" 2>&1; then
            return 0
        fi
        echo "Rehearsal $attempt: $(grep -m 1 'rehearsal failed' "$dir/rehearsal.log")"
    done
    return 1
}
# A jar is read through when it is first opened, and of nine thousand classes a start needs two. A rehearsal tells which:
# they go into the first jar, and the whole one is only opened for what is not among them.
if rehearse -Xlog:class+load:file="$dir/loaded.txt":none -jar "$dir/whole.jar"; then
    sed -n 's/^\([^ ]*\) source: .*whole\.jar$/\1/p' "$dir/loaded.txt" | tr . / | sed 's/$/.class/' >"$dir/near.txt"
    # With a class go the ones nested in it: what a longer run needs of them must not make it open the whole jar.
    (cd "$dir/whole" && find . -name '*$*.class') | sed 's|^\./||' >"$dir/nested.txt"
    awk -F '[$]' 'NR == FNR { loaded[$0]; next } ($1 ".class") in loaded' "$dir/near.txt" "$dir/nested.txt" >"$dir/nested.list"
    cat "$dir/nested.list" >>"$dir/near.txt"
    (cd "$dir/whole" && find org/umbermount META-INF/umbermount -type f) >>"$dir/near.txt"
fi
sort -u "$dir/near.txt" >"$dir/near.list" 2>/dev/null || (cd "$dir/whole" && find . -type f) >"$dir/near.list"
(cd "$dir/whole" && while read -r name; do [ ! -f "$name" ] || printf '%s\n' "$name"; done) <"$dir/near.list" >"$dir/near.txt"
printf 'Main-Class: org.umbermount.app.Main\nClass-Path: whole.jar\n' >"$dir/daemon.manifest"
(cd "$dir/whole" && jar -c -f "$root/$dir/daemon.jar" -0 -m "$root/$dir/daemon.manifest" @"$root/$dir/near.txt")
rm -rf "$dir/whole" "$dir/rehearsal"
rehearse -XX:ArchiveClassesAtExit="$dir/umbermount.jsa" -jar "$dir/daemon.jar" ||
    echo "The class archive is not whole, and starts are slow; see $dir/rehearsal.log."
