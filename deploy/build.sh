#!/bin/sh
# Installs the package and what its platform roles use under target/deps.
set -eu
if [ ! -f target/deps/.installed ] || [ requirements.txt -nt target/deps/.installed ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target target/deps -r requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/dragonflyshift
cp -R src/dragonflyshift target/deps/dragonflyshift
python3 -m compileall -q target/deps
