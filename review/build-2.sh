#!/bin/sh
# Builds the stand-ins of review/6 to review/9. They are plain Python without
# dependencies, in review/common2; the scripts start none of the project's stand-ins.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/common2 review/6 review/7 review/8 review/9
