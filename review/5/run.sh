#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption; the driver reads it from the environment.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
driver=target/review-2/debug/review-2
[ -x "$driver" ] && [ -x target/release/millwind-proxy ] || exit 2
exec "$driver" silent-watch "$folder"
