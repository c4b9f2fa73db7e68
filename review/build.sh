#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/*.java
