#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/rig-2/*.java
