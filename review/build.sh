#!/bin/sh
# Builds the stand-ins of the review's scripts, into target/review.
set -e
larkkeel_root=$(cd "$(dirname "$0")/.." && pwd)
. "$larkkeel_root/bin/include.sh"
find_jdk
cd "$larkkeel_root"
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review review/platform/*.java
