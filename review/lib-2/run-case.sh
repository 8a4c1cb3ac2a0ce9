#!/usr/bin/env bash
# Plays one case: run-case.sh FOLDER. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves out the disruption. RECORD_DIR=FOLDER writes the record there instead of beside the case.
# KEEP_LOGS=FOLDER copies the controllers' logs there.
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$1")
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/release/dockpier ]; then
    echo "not built: run the build command of deploy/service.toml, then review/build-2.sh" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
export RECORD=${RECORD_DIR:-review/$number}/record.txt
cleanup() {
    if [ -n "$player" ]; then kill -KILL "$player" 2>/dev/null; fi
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$CASE_TMP/pids"
    fi
    if [ -n "$KEEP_LOGS" ]; then mkdir -p "$KEEP_LOGS" && cp "$CASE_TMP"/*.log "$KEEP_LOGS"/ 2>/dev/null; fi
    rm -rf "$CASE_TMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
"$program" &
player=$!
wait "$player"
code=$?
player=
# The program has ended its processes itself, unless it was ended by a signal.
case $code in 0|1|2) rm -f "$CASE_TMP/pids" ;; esac
case $code in 0|1|2) exit "$code" ;; *) exit 2 ;; esac
