#!/bin/sh
# See claim.txt. Needs the deploy file's build and review/build.sh. TROUBLE=0: the same without the new configuration.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/elderseam.jar ] && [ -d target/review ] || exit 2
exec java -Xmx128m -cp target/review upgrades.MovedDiscoveryCase review/2/record.txt
