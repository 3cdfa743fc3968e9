#!/bin/sh
# Builds what the cases of review/6 to review/10 start. Run it after the build of the deploy file,
# which makes the project's own stand-ins (they are in target/beamspread-ops.jar).
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp target/beamspread-ops.jar review/src2/*.java
