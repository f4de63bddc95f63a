#!/bin/sh
# Builds the cases 4 to 8 and their stand-ins into review/bin/. Needs the build
# of deploy/system.toml (target/), which the cases start, and its packages.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=c++20 -O1 -Wall -Wextra -Istandin-2"
for part in Http World Trainer; do
  g++ $flags -c "standin-2/$part.cc" -o "bin/standin-2-$part.o" &
done
wait
for scenario in [4-8]/Scenario.cc; do
  [ -e "$scenario" ] || continue
  g++ $flags "$scenario" bin/standin-2-Http.o bin/standin-2-World.o bin/standin-2-Trainer.o \
    -o "bin/case-${scenario%/Scenario.cc}" -lboost_json -lpthread &
done
wait
for scenario in [4-8]/Scenario.cc; do
  [ ! -e "$scenario" ] || [ -x "bin/case-${scenario%/Scenario.cc}" ]
done
