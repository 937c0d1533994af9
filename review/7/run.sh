#!/bin/sh
# A more specific route of the same service is added while messages with an ordering key wait.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
# The stand-in writes record.txt in this folder: what was sent, answered and run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
stand=target/review-2/release/stand-2
[ -x "$stand" ] && [ -x target/release/dahliawick-store ] || exit 2
exec "$stand" split-route "$folder"
