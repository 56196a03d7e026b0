#!/bin/sh
# Builds the stand-ins that the scripts start: compiles them and checks their imports.
# Run it after the build of the deploy file, which makes target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q tools review || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:tools:review \
    python3 -S -c "import harness, standins.platform, standins.platform_caller"
