#!/bin/sh
# Ends the nodes that carry tunnels, or the upstreams, in the midst of answers; CarriersKilled.java
# lists the variables. Needs what deploy/build.sh builds.
#
# Usage: CASE=kill sh drills/carriers-killed/run.sh
# Exits with 1 if a rule was broken, 0 if they held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
larkkeel_root=$(cd "$here/../.." && pwd)
. "$larkkeel_root/bin/include.sh"
find_jdk
cd "$larkkeel_root" || exit 2
if [ ! -x "${BUILD:-.}/target/system/runtime/bin/java" ]; then
  echo "run sh deploy/build.sh first" >&2
  exit 2
fi
sh review/build.sh || exit 2
rm -rf target/drills
mkdir -p target/drills
"$JAVA_HOME/bin/javac" -Xlint:all -cp target/review -d target/drills \
  drills/carriers-killed/*.java drills/carriers-killed/platform/*.java || exit 2
exec "$JAVA_HOME/bin/java" -Xmx400m -XX:+UseSerialGC -cp target/review:target/drills CarriersKilled
