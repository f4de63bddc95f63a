#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/bin/case-$(basename "$here")"
for it in "$program" "$root/target/wasabi-edge" "$root/target/wasabi-side"; do
  if [ ! -x "$it" ]; then
    echo "not built: $it" >&2
    exit 2
  fi
done
timeout -k 2 117 "$program" "$root" "$here/record.txt" "${TROUBLE:-1}"
result=$?
tail -n 1 "$here/record.txt"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
