#!/bin/sh
# Builds the stand-ins and the runs of the cases 6 to 10 with the JDK alone, into target/review-2. The node itself is built
# by the command of the deploy file, before this.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 --release 17 -d target/review-2 review/rig-2/*.java review/*/Case*.java
echo "built target/review-2"
