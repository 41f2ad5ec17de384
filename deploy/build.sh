#!/bin/sh
# Builds the jar, then lets a JVM of the kind that deploy/run.sh starts rehearse service on loopback and write down the
# classes it met (an archive for class data sharing): a start then takes less of the platform's part of a core.
set -e
mvn -q -B -DskipTests -pl daemon -am package
rm -f daemon/target/lupinvalve.jsa
java -XX:ArchiveClassesAtExit=daemon/target/lupinvalve.jsa -XX:+UseSerialGC -Xmx112m -Xss256k -XX:TieredStopAtLevel=1 \
    -Xshare:auto -XX:-UsePerfData -Djava.net.preferIPv4Stack=true -Xlog:cds=off \
    -Xlog:cds+dynamic=off -jar daemon/target/lupinvalve.jar rehearse \
    --config example/config.json || echo "no rehearsal: the program starts without an archive of its classes" >&2
