#!/bin/sh
# Builds the stand-ins of the cases.
set -e
cd "$(dirname "$0")"
mkdir -p build
javac -nowarn -d build standins/*.java
