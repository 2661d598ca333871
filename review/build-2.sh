#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are plain modules for
# Node.js without dependencies, so that it is enough to check that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file"
done
