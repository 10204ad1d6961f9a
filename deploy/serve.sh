#!/bin/sh
# One dispatcher, its heap and buffers derived from limits.memory_mb of RELAY_CONFIG (192 where it tells none): the JVM
# itself takes about 45 MB, 64 are left to it. No less than 24 MB of heap serves; more than 64 was never of use.
# Only the shell's own words are used, and no command substitution: where the fleet's days are played, starting a
# program or a subshell is refused, and this has to end in one process, the JVM, by exec.
memory=
if [ -r "$RELAY_CONFIG" ]; then
    while [ -z "$memory" ] && IFS= read -r line || [ -n "$line" ]; do
        case $line in
            *'"memory_mb"'*)
                rest=${line#*\"memory_mb\"}
                rest=${rest#"${rest%%[!\" :	]*}"}   # the spaces and the colon after the key
                digits=${rest%%[!0-9]*}
                memory=${digits:-}
                ;;
        esac
        line=
    done < "$RELAY_CONFIG"
fi
case $memory in
    ''|*[!0-9]*) memory=192 ;;
esac
[ ${#memory} -le 6 ] || memory=192
within() {   # NAME LEAST MOST VALUE: NAME is set to VALUE, kept between LEAST and MOST
    if [ "$4" -lt "$2" ]; then eval "$1=\$2"; elif [ "$4" -gt "$3" ]; then eval "$1=\$3"; else eval "$1=\$4"; fi
}
within heap 24 64 $((memory - 64))
within start 24 48 "$heap"
within direct 6 12 $((memory / 12))
exec java -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -XX:SharedArchiveFile=target/elderseam.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -Xss256k -XX:+ExitOnOutOfMemoryError \
    -Xms"$start"m -Xmx"$heap"m -XX:MaxDirectMemorySize="$direct"m \
    -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -jar target/elderseam.jar serve "$@"
