#!/usr/bin/env bash
# Builds the project, runs all processes of a site on the loopback interface and prints one JSON object as the last line.
# Usage: scripts/demo.sh [--site tesfaye|sundarban] [--scenario NAME] [--seconds N] [--seed N]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_FOLDER:-build}
work=$(mktemp -d)
scripts/install-packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target fireflytrestle-balancer fireflytrestle-agent fireflytrestle-ctl site-driver >&2
echo "logs and configuration: $work" >&2
ulimit -n 8192 2>/dev/null || true
exec "$build/tests/fakes/site-driver" --programs "$build" --examples examples --work "$work" "$@"
