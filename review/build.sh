#!/bin/sh
# The stand-ins of the scripts are Python with the standard library only: checking that they compile
# is all there is to build.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
