#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -source 17 -target 17 -d target/review review/src/test/java/review/*.java
