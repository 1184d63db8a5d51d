#!/bin/sh
# Run after the build of the deploy file. Compiles the stand-ins that the scripts
# of cases 6 to 10 start, and checks that these find their libraries.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/lib-2
PYTHONPATH=target/deps:review/lib-2 python3 -c 'import bed'
