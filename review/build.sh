#!/bin/bash
# Builds the stand-ins of all cases into review/bin/. Needs g++ only.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
for source in "$here"/[1-9]/Case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$here/bin/case-$number"
done
