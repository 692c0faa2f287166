#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/LeavingReplica ] || exit 2
exec review/run-case.sh target/review-2/LeavingReplica review/8 voter
