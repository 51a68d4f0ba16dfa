#!/bin/sh
# The stand-ins are Python programs without dependencies: they are only
# compiled here, to show that this interpreter can run them.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/rig.py */case.py
rm -rf lib/__pycache__ */__pycache__
