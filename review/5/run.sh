#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
python3 -c "import review.common.client, review.common.worker" || exit 2
exec python3 "$here/case.py"
