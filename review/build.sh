#!/bin/sh
# Builds the stand-ins of all cases from the sources beside this file, with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir -p classes
javac -d classes src/*.java
