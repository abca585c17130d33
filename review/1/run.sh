#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/shallotrouter ] || [ ! -x target/review-standin ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
exec target/review-standin unlisted review/1/record.txt
