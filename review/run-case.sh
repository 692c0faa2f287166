#!/usr/bin/env bash
# Runs a case with its temporary files in a folder of its own and ends with its
# exit status. The folder is removed if the rule held, unless KEEP_FILES is set.
# usage: run-case.sh PROGRAM [ARGUMENT]...
Keep=${KEEP_FILES:-}
Files=$(mktemp -d) || exit 2
export TMPDIR=$Files KEEP_FILES=1 REVIEW_KEEP=1
"$@"
Status=$?
if [ "$Status" = 0 ] && [ -z "$Keep" ]; then
  rm -rf "$Files"
else
  echo "files: $Files" >&2
fi
exit "$Status"
