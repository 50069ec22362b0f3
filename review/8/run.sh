#!/usr/bin/env bash
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out.
folder=$(dirname "$0")
exec bash "$folder/../stand-ins-2/run-case.sh" short-length "$folder"
