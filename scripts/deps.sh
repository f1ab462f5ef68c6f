#!/bin/sh
# Installs the missing Debian packages that the build and the tests need.
set -eu
PACKAGES="gcc g++ clang cmake ninja-build pkg-config libapr1-dev
libmsgpack-dev libglib2.0-dev libgtest-dev libgmock-dev libnghttp2-dev
libjansson-dev libxxhash-dev libsodium-dev libinih-dev
libmicrohttpd-dev libhttp-parser-dev zlib1g-dev libbenchmark-dev librapidcheck-dev curl clang-format
clang-tidy cppcheck python3 libclang-rt-14-dev"
missing=""
for package in $PACKAGES; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
