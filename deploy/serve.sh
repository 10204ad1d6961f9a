#!/bin/sh
# One dispatcher, its heap and buffers derived from limits.memory_mb of RELAY_CONFIG (192 where it tells none): the JVM
# itself takes about 45 MB, 64 are left to it. No less than 24 MB of heap serves; more than 64 was never of use.
memory=$(sed -n 's/.*"memory_mb" *: *\([0-9]\{1,6\}\).*/\1/p' "$RELAY_CONFIG" 2>/dev/null | head -n 1)
memory=${memory:-192}
within() {   # LEAST MOST VALUE
    [ "$3" -lt "$1" ] && echo "$1" || { [ "$3" -gt "$2" ] && echo "$2" || echo "$3"; }
}
heap=$(within 24 64 $((memory - 64)))
exec java -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -XX:SharedArchiveFile=target/elderseam.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -Xss256k \
    -Xms"$(within 24 48 "$heap")"m -Xmx"$heap"m -XX:MaxDirectMemorySize="$(within 6 12 $((memory / 12)))"m \
    -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -jar target/elderseam.jar serve "$@"
