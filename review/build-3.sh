#!/bin/sh
# Checks that the stand-ins of the scripts compile. They are Python modules that
# the scripts import, so nothing else has to be built.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib-3
