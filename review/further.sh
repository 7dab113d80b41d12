#!/bin/sh
# Plays a finding beyond the three cases: further.sh stale-holder|paused|values. Its record goes to
# review/further/record.txt, which is not kept in the repository.
cd "$(dirname "$0")" || exit 2
mkdir -p further
exec sh ./play.sh "$1" further
