#!/usr/bin/env bash
# Runs the tests of all libraries under the address and undefined-behaviour sanitizers, and those of libnet, the library
# with threads, also under the thread sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
# build_tests <build folder> <sanitizers> <targets...>
build_tests() {
  local build=$1 sanitizer=$2
  shift 2
  cmake -S . -B "$build" -G Ninja -DFIREFLYTRESTLE_SANITIZER="$sanitizer" >/dev/null
  cmake --build "$build" --target "$@" >/dev/null
}
programs=()
for folder in tests/lib*; do
  programs+=("$(basename "$folder")_tests")
done
build_tests build-asan address,undefined "${programs[@]}"
for program in "${programs[@]}"; do
  echo "address and undefined-behaviour sanitizers: $program"
  # Tests in KNOWN-RED.txt fail with and without sanitizers; scripts/run-tests.sh runs and prints them.
  known_red=$(sed -n "s/^test: ${program%_tests}://p" KNOWN-RED.txt | paste -sd, -)
  UBSAN_OPTIONS=halt_on_error=1 RC_PARAMS="seed=20261204" "build-asan/$program" --minimal \
    ${known_red:+--test-case-exclude="$known_red"}
done
build_tests build-tsan thread libnet_tests
echo "thread sanitizer: libnet_tests"
TSAN_OPTIONS="halt_on_error=1 suppressions=$PWD/scripts/thread-sanitizer-suppressions.txt" build-tsan/libnet_tests --minimal
