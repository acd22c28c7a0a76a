#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain Python and need
# only the standard library; the build of the deploy file makes the rest.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand3
