#!/usr/bin/env bash
# Installs the packages that the build needs, builds the project, and runs all tests. Usage: scripts/test.sh [build folder] [cmake options...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
scripts/install-packages.sh
cmake -S . -B "$build" -G Ninja "$@" >/dev/null
cmake --build "$build"
scripts/run-tests.sh "$build"
