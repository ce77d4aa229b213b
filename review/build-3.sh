#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They have a module of their own without dependencies.
set -eu
cd "$(dirname "$0")/stand-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review/stand-3 .
