#!/bin/sh
# Case 1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/elderseam.jar ] && [ -d target/review ] || exit 2
exec java -XX:TieredStopAtLevel=1 -Xmx128m -cp target/review review.Cases refused "$here/record.txt"
