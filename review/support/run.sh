#!/usr/bin/env bash
# Runs one case: `run.sh N`. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$here/bin/case-$1" ] || { echo "run review/build.sh first"; exit 2; }
[ -x "$here/../target/bin/corianderhoist-platform" ] || { echo "run the build of the deploy file first"; exit 2; }
export REPOSITORY=$(dirname "$here") CASE_FOLDER=$here/$1
timeout --kill-after=2 118 "$here/bin/case-$1"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
