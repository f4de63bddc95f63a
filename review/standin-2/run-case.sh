#!/bin/sh
# Runs one case: run-case.sh N. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. With TROUBLE=0 it runs without the
# disruption.
set -u
number=$1
trouble=${TROUBLE:-1}
review=$(cd "$(dirname "$0")/.." && pwd)
root=$(dirname "$review")
program="$review/bin/case-$number"
if [ ! -x "$program" ] || [ ! -x "$root/target/wasabi-edge" ]; then
  echo "not built: build the deploy file, then run review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
"$program" "$root" "$folder" "$review/$number/record.txt" "$trouble"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  echo "logs of the processes: $folder" >&2
else
  rm -rf "$folder"
fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
