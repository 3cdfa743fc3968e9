#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/beamspread-ops.jar && test -f target/review-2/BehindValue.class || exit 2
java -cp target/review-2:target/beamspread-ops.jar BehindValue review/9
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
