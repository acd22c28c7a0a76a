#!/bin/sh
# Builds what the scripts of this review start besides the programs of the
# deploy file: small stand-ins in Python, which need the standard library only.
cd "$(dirname "$0")" && exec python3 -m compileall -q stand2
