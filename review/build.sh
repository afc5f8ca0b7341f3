#!/usr/bin/env bash
# Checks that the stand-ins can be run. They are plain programs for Node.js, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.js 2/run.js 3/run.js; do
	node --check "$file"
done
