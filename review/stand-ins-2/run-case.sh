#!/usr/bin/env bash
# Plays a case: run-case.sh CASE FOLDER, with the folder of the case for its record.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
case_name=$1
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
play=review/stand-ins-2/bin/play
if [ ! -x "$play" ] || [ ! -x target/release/quota-gateway ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
end_gateways() {
    # Only what the play has started and left running, which it writes down here.
    for file in "$folder"/*.pid; do
        [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end_gateways EXIT
timeout -k 2 112 "$play" "$case_name" "$case_folder/record.txt" "$folder"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
