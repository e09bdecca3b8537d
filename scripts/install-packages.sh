#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need, as far as they are missing.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy valgrind qt6-base-dev prometheus-cpp-dev libpopt-dev
  libspdlog-dev libboost1.81-dev doctest-dev librapidcheck-dev libmsgpuck-dev nlohmann-json3-dev libxxhash-dev
  libcivetweb-dev libsodium-dev libbenchmark-dev libyaml-cpp-dev)
missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$'; then
    missing+=("$package")
  fi
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
as_root=()
if [ "$(id -u)" -ne 0 ]; then
  as_root=(sudo)
fi
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
