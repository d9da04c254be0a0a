#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python without dependencies, so the
# step only compiles them.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common2
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$folder" ] || python3 -m compileall -q "$folder"
done
