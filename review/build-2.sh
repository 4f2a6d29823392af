#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They need only the JDK; the
# program itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -d target/review-2 review/standins-2/*.java
