#!/bin/sh
# Certificates are revoked, one of them an authority's; none that they vouch for may be admitted any more.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 115 ../bin/standin "$(cd ../.. && pwd)" "$PWD" chain
