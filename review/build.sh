#!/bin/sh
# Compiles the stand-ins and the cases of the review into target/review, after the build of the deploy file. Needs the JDK
# alone, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -cp "target/classes:target/lib/*" -d target/review review/lib/review/*.java
