#!/usr/bin/env bash
# Prints the parts of the tree that the linter does not hold yet; fails where the list has grown.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lowered with each entry that leaves the list; never raised.
readonly MOST=8
unfinished=$(sed -n 's#^  <suppress .*files="\[/\\\\\]\([a-z]*\)\[/\\\\\]src\[/\\\\\]\([a-z]*\).*#\1/src/\2#p' build/checkstyle-unfinished.xml)
entries=$(grep -c '<suppress ' build/checkstyle-unfinished.xml || true)
echo "Not held by the linter yet: $entries, $MOST at most"
printf '  %s\n' $unfinished
if [ "$entries" -gt "$MOST" ]; then
    echo "WRONG build/checkstyle-unfinished.xml has grown" >&2
    exit 1
fi
