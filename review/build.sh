#!/usr/bin/env bash
# Checks that the stand-ins of the scripts load; the build of deploy/system.toml goes
# first, since the stand-ins use its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review:platform/testing PYTHONDONTWRITEBYTECODE=1
python3 -c "import harness.caller, harness.record, harness.system, harness.worker"
python3 -c "import harness.silence, wire.storestandin"
