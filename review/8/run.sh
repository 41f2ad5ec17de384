#!/bin/sh
# Writes to record.txt in this folder what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -r review/target/classes-2/DnsSlow.class ] || [ ! -r daemon/target/lupinvalve.jar ]; then
    echo "run deploy/build.sh and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx256m -cp review/target/classes-2 DnsSlow review/8/record.txt
