#!/bin/sh
# Builds the stand-ins and clients that the scripts of cases 4 to 8 start, into target/review-2. They
# stand alone on the JDK.
set -e
larkkeel_root=$(cd "$(dirname "$0")/.." && pwd)
. "$larkkeel_root/bin/include.sh"
find_jdk
out=$larkkeel_root/target/review-2
rm -rf "$out"
mkdir -p "$out"
"$JAVA_HOME/bin/javac" -d "$out" "$larkkeel_root"/review/second/platform/*.java
