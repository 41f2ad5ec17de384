#!/bin/sh
# Builds the stand-ins and clients of the cases, of the JDK's classes alone, into review/target/classes.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -nowarn -d target/classes standins/*.java
