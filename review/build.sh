#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python modules of the
# project and of this folder, so that it is enough that they can be imported
# beside the libraries that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:review PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness'
