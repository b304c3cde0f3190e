#!/bin/bash
# Builds the stand-ins of the cases into a folder that is not committed.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in */case.cc; do
  n=$(dirname "$case")
  g++ -std=c++20 -O1 -pthread -Irig rig/rig.cc rig/model.cc "$case" -o "bin/case-$n"
done
