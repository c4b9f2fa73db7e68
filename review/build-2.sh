#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 6 to 10, after the build of the deploy file; fetches nothing.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -cp "target/gypsumflow.jar:target/lib/*" -d target/review-2 review/second/*.java
