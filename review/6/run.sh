#!/usr/bin/env bash
# A request from one service crashes its endpoints; the same from another is answered. TROUBLE=0: it crashes none.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chervilwellnode ] && [ -x target/review2/caller ] || { echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec timeout -k 5 110 target/review2/caller review/6
