#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15. The build of the deploy file comes first: it also builds the
# project's own stand-ins, which are in the project's archive.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
javac -d target/review-3 -cp 'target/gypsumflow.jar:target/lib/*' review/third/*.java
