#!/bin/sh
# Plays one of the stand-ins' plays that are no cases: retune, late, chain, revoked, gone, stuck, drain, effects or memory. Usage:
# play.sh NAME FOLDER; record.txt is written into the folder. The exit codes and TROUBLE are those of a case.
[ $# = 2 ] || exit 2
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 115 bin/standin "$(cd .. && pwd)" "$2" "$1"
