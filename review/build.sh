#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. Needs g++ and the C
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -o target/review/standin review/standin/*.cpp
