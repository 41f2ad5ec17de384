#!/bin/sh
# Plays the case and writes record.txt beside this script. Exit code 1: the rule was broken, 0: it held, 2: could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -r daemon/target/lupinvalve.jar ] && [ -r review/target/classes/Late.class ] || { echo "not built"; exit 2; }
# The command of the deploy file, by which the pooler is started.
RUN="exec sh deploy/run.sh"
export RUN
timeout 115 java -Xmx512m -cp review/target/classes Late review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
