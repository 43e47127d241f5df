#!/usr/bin/env bash
# 1: the rule broke; 0: it held; 2: the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
