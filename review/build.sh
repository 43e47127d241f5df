#!/usr/bin/env bash
# Builds what the scripts of the review start beside the hosts: their stand-ins
# are Python files that need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
