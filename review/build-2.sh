#!/usr/bin/env bash
# Compiles the stand-ins and the cases; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins2.py
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
