#!/bin/sh
# Builds the stand-ins that the scripts start. They need only the standard
# library, so that compiling them is all there is to do.
cd "$(dirname "$0")" && python3 -m compileall -q . 
