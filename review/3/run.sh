#!/bin/sh
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
[ -f "$root/target/beamspread.jar" ] && [ -d "$root/review/classes" ] || {
  echo "run the build of deploy/balancer.toml and review/build.sh first"
  exit 2
}
exec java -Xmx512m -cp "$root/review/classes" "Case$number" "$root" "$here" "${TROUBLE:-1}"
