#!/bin/sh
# Installs the Debian packages that building and testing need, if any of them is missing. Needs root, or sudo, only then.
set -eu
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy libhttp-parser-dev curl
 libpopt-dev liblog4cplus-dev libboost1.81-dev libgtest-dev libbenchmark-dev
 libinih-dev libsodium-dev zlib1g-dev nlohmann-json3-dev"
missing=
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
as_root=
if [ "$(id -u)" -ne 0 ]; then
  if ! command -v sudo >/dev/null; then
    echo "Missing packages; install them as root:$missing" >&2
    exit 1
  fi
  as_root=sudo
fi
echo "Installing:$missing"
$as_root apt-get update >/dev/null
# shellcheck disable=SC2086 # a list of names
$as_root env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $missing >/dev/null
