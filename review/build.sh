#!/bin/sh
# The stand-ins need nothing but the standard library of Python 3.11 or later. This
# checks that, and that the build of the deploy file has been run.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 2; }
python3 - <<'END'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in Path("review").rglob("*.py"):
    compile(path.read_bytes(), str(path), "exec")
END
