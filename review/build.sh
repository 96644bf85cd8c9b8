#!/bin/sh
# Builds the stand-ins of the scripts. They need Python's library only, so this
# checks that they compile. The gateways need the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
