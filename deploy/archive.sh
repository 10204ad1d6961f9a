#!/bin/sh
# Writes target/elderseam.jsa, the class-data archive that deploy/serve.sh maps: a short training run notes the classes.
# The JVM takes an archive only from the very same JVM and jars, and starts without it otherwise; so a failure here is
# told and fails no build.
rm -f target/elderseam.jsa
if timeout 90 java -XX:ArchiveClassesAtExit=target/elderseam.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -XX:-UsePerfData \
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -Xmx64m -jar target/elderseam.jar train \
    > target/training.log 2>&1 && [ -s target/elderseam.jsa ]; then
    exit 0
fi
echo "no class-data archive, serve will start slower; see target/training.log" >&2
exit 0
