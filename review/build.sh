#!/bin/sh
# Compiles the stand-ins and the cases of the review into target/review, after the build of the deploy file. Needs the JDK
# and what that build leaves in target/classes, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/lib/*; do
    javac --release 17 -cp "target/classes:target/lib/*" -d target/review "$folder"/*.java
done
