#!/bin/sh
# Plays one case: play.sh CASE FOLDER. Starts the project's proxies on loopback addresses and
# writes record.txt into the folder. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the
# case could not run. TROUBLE=0 leaves the disruptions out. KEEP_LOGS=FOLDER keeps the proxies' logs.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
root=$(pwd -P)
program=review/stand-ins/target/release/stand-ins
[ -x "$program" ] || sh review/build.sh || exit 2
[ -x target/release/millwind-proxy ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
end() {
    trap - EXIT
    [ -n "$player" ] && kill "$player" 2>/dev/null
    # The program ends its proxies itself. Those that are left, after it was ended from outside, are
    # ended here: only ids that it noted and that still run this repository's proxy.
    [ -f "$CASE_TMP/processes" ] && while read -r process; do
        [ "$(readlink "/proc/$process/exe")" = "$root/target/release/millwind-proxy" ] && kill -9 "$process"
    done < "$CASE_TMP/processes"
    [ -n "$KEEP_LOGS" ] && cp "$CASE_TMP"/*.log "$KEEP_LOGS"
    rm -rf "$CASE_TMP"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 110 "$program" "$1" "$folder" &
player=$!
wait "$player"
code=$?
player=
[ "$code" -le 2 ] || code=2
exit "$code"
