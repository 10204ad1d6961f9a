#!/bin/sh
# Compiles the stand-ins of the second review's cases into target/review-2. After the build of the deploy file; needs
# the JDK alone, no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/lib-2/*.java
