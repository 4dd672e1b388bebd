#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Run after the build of the deploy file, from any folder.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -cp target/quincelead.jar -d target/review-2 review/standins-2/*.java
