#!/bin/sh
# Plays one case: play.sh CASE FOLDER. Starts the project's proxies on loopback addresses and
# writes record.txt into the folder. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the
# case could not run. TROUBLE=0 leaves the disruptions out. KEEP_LOGS=FOLDER keeps the proxies' logs.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=review/stand-ins/target/release/stand-ins
[ -x "$program" ] || sh review/build.sh || exit 2
[ -x target/release/millwind-proxy ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
end() {
    # The program ends its processes itself; this is for the case that it was ended.
    [ -f "$CASE_TMP/processes" ] && while read -r process; do
        kill -9 "$process" 2>/dev/null
    done < "$CASE_TMP/processes"
    [ -n "$KEEP_LOGS" ] && cp "$CASE_TMP"/*.log "$KEEP_LOGS"
    rm -rf "$CASE_TMP"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 110 "$program" "$1" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
