#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs only Go.
set -eu
cd "$(dirname "$0")/stand"
go build -buildvcs=false -o ../../target/review-stand .
