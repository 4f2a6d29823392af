#!/bin/sh
# Builds the stand-ins of the cases with the JDK only. Run in any folder.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -encoding UTF-8 -Xlint:all,-serial -d out standins/*.java
