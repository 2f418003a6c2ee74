#!/usr/bin/env bash
# Prepares the stand-ins of the cases in review/6 to review/10 and review/further-2. They are scripts of Python 3.11 or
# later with its standard library only, so nothing is compiled: this checks that they can be run.
# The router itself is built with the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py ./6/case.py ./7/case.py ./8/case.py ./9/case.py ./10/case.py \
  further-2/*/case.py <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
print(f"{len(sys.argv) - 1} scripts are ready")
EOF
