#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../play.sh" values "$folder"
