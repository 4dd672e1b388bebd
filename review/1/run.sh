#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx400m -Dproject.root=. -cp review/build standins.CaseMalformed review/1/record.txt
