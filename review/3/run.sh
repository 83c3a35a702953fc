#!/bin/sh
# Connections to an engine are reset while its queries run; a query may not be out at two engines.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 115 ../bin/standin "$(cd ../.. && pwd)" "$PWD" twice
