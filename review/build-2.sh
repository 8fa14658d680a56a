#!/bin/sh
# Prepares the cases 4 to 7. Their stand-ins are in Python, with its standard library alone, so there is nothing to
# build; the programs of tidepoint itself come from the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-2"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version; import stand, llm'
