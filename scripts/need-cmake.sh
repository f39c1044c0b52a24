#!/bin/sh
# Sees to cmake, which builds nng for tests: installs it where apt allows, otherwise says what to do.
set -eu

command -v cmake >/dev/null 2>&1 && exit 0
if command -v apt-get >/dev/null 2>&1 && [ "$(id -u)" = 0 ]; then
    echo "installing cmake, which builds nng" >&2
    { apt-get update -qq && apt-get install -y -qq cmake; } >/dev/null && exit 0
fi
echo "cmake is needed to build nng: install it, for instance with 'sudo apt-get install cmake'" >&2
exit 1
