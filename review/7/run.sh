#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/TenantNames.class ]; then
  echo "run review/build-2.sh first" >&2
  exit 2
fi
exec java -Xmx256m -Droot="$PWD" -Dcase="$PWD/review/7" -cp target/review-2 TenantNames
