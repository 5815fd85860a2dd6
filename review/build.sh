#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js that use nothing but its own modules, so there is nothing to compile. Checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
