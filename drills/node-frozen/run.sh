#!/bin/sh
# Stops a node while runners of another version join; NodeFrozen.java lists the variables.
# Needs what deploy/build.sh builds.
#
# Usage: CASE=paths-lost sh drills/node-frozen/run.sh
# Exits with 1 if a rule was broken, 0 if they held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
larkkeel_root=$(cd "$here/../.." && pwd)
. "$larkkeel_root/bin/include.sh"
find_jdk
cd "$larkkeel_root" || exit 2
if [ ! -x target/system/runtime/bin/java ]; then
  echo "run sh deploy/build.sh first" >&2
  exit 2
fi
sh review/build.sh || exit 2
rm -rf target/drills
mkdir -p target/drills
"$JAVA_HOME/bin/javac" -Xlint:all -cp target/review -d target/drills \
  drills/platform/*.java drills/node-frozen/*.java || exit 2
exec "$JAVA_HOME/bin/java" -Xmx200m -XX:+UseSerialGC -cp target/review:target/drills NodeFrozen
