#!/bin/sh
# Builds what the platform runs, under target/system: the program's jars and a runtime of its own.
set -e
larkkeel_root=$(cd "$(dirname "$0")/.." && pwd)
. "$larkkeel_root/bin/include.sh"
find_jdk
find_maven
cd "$larkkeel_root"
out=target/system
rm -rf "$out"
mkdir -p "$out"
mvn -q -B -pl platform -am -Dmaven.test.skip=true package dependency:copy-dependencies \
  -DincludeScope=runtime -DoutputDirectory="$larkkeel_root/$out/lib"
cp platform/target/org.larkkeel.platform-*.jar "$out/lib/"
"$JAVA_HOME/bin/jlink" --output "$out/runtime" --strip-debug --no-header-files --no-man-pages \
  --add-modules java.base,java.logging,java.naming,java.management,java.xml,java.security.jgss,java.security.sasl,java.sql,jdk.unsupported,jdk.crypto.ec
