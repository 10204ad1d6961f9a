#!/bin/sh
# Case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec java -XX:TieredStopAtLevel=1 -Xmx128m -cp "target/review:target/classes:target/lib/*" review.Cases certificate "$here/record.txt"
