#!/bin/sh
# Builds the stand-ins and the programs of cases 6 to 10, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target/classes-2
mkdir -p review/target/classes-2
javac -d review/target/classes-2 review/standins-2/*.java
