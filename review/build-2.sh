#!/bin/sh
# Builds the stand-ins of the scripted cases in 6 and later, beside the programs of the deploy file. They use the standard library only.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/stand-2 .
