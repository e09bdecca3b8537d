#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The programs under test come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for trial in review/*/trial.cpp; do
  case=$(basename "$(dirname "$trial")")
  g++ -std=c++20 -O1 -Wall -Wextra "$trial" review/standin-2/site.cpp -o "target/review-2/trial-$case"
done
