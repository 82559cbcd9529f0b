# Shared by the scripts of this project: finds a JDK, builds, and runs a class.
# To be sourced; expects larkkeel_root to be the folder of the root pom.xml.

larkkeel_jdk_version=25

# Prints the major version of the JDK in folder $1; prints nothing if there is none.
jdk_major() {
  [ -x "$1/bin/javac" ] || return 0
  if [ -r "$1/release" ]; then
    sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release"
  else
    "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
  fi
}

# Exports JAVA_HOME as the first JDK that is new enough, or ends the script.
find_jdk() {
  for home in "${JAVA_HOME:-}" \
      /usr/lib/jvm/* /usr/java/* /opt/java/* /opt/jdk* \
      "${HOME:-/nonexistent}"/.sdkman/candidates/java/* \
      "${HOME:-/nonexistent}"/.jdks/* \
      /Library/Java/JavaVirtualMachines/*/Contents/Home; do
    major=$(jdk_major "$home")
    if [ -n "$major" ] && [ "$major" -ge "$larkkeel_jdk_version" ]; then
      JAVA_HOME=$home
      export JAVA_HOME
      return 0
    fi
  done
  echo "larkkeel needs a JDK of version $larkkeel_jdk_version or newer, and none was found in" >&2
  echo "JAVA_HOME (${JAVA_HOME:-not set}) or the usual folders. Install one, for example Eclipse" >&2
  echo "Temurin $larkkeel_jdk_version, and set JAVA_HOME to its folder." >&2
  exit 69
}

# Ends the script unless Maven is there.
find_maven() {
  if ! command -v mvn >/dev/null 2>&1; then
    echo "larkkeel is built with Apache Maven 3.8 or newer, and mvn is not on the PATH. Install it." >&2
    exit 69
  fi
}

# Compiles module $1 and what it depends on, unless its classes are newer than every source.
build_if_needed() {
  stamp=$larkkeel_root/$1/target/classpath.txt
  if [ -f "$stamp" ] && [ -z "$(find "$larkkeel_root" -path '*/target' -prune -o \
      \( -path '*/src/main/*' -o -name pom.xml \) -type f -newer "$stamp" -print | head -n 1)" ]; then
    return 0
  fi
  find_maven
  echo "Building $1; the first build may fetch libraries." >&2
  rm -f "$stamp"
  (cd "$larkkeel_root" && mvn -q -B -pl "$1" -am process-classes) >&2 || exit 70
  touch "$stamp"
}

# Replaces the script by class $2 of module $1; the rest are the arguments of the class.
# LARKKEEL_JAVA_OPTIONS may name further options of the JVM.
run_class() {
  module=$1
  class=$2
  shift 2
  classpath=$larkkeel_root/$module/target/classes:$(cat "$larkkeel_root/$module/target/classpath.txt")
  # shellcheck disable=SC2086
  exec "$JAVA_HOME/bin/java" -XX:-UsePerfData ${LARKKEEL_JAVA_OPTIONS:-} -cp "$classpath" "$class" "$@"
}
