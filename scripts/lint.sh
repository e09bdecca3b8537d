#!/usr/bin/env bash
# Checks the format of the given files, by default all sources and headers, and runs clang-tidy on those that are sources
# in src/. Usage: scripts/lint.sh [build folder] [files...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files '*.cpp' '*.h')
fi
if [ ${#files[@]} -eq 0 ]; then
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | { grep '^src/.*\.cpp$' || true; } |
  xargs -r -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build" 2>&1 | { grep -v 'warnings generated\|Suppressed\|^Use -header' || true; }
