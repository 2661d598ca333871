#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript, so that nothing needs to be compiled; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
