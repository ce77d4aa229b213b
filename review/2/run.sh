#!/usr/bin/env bash
# Runs the case; needs the programs of the deploy file and of review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stand -case deadly -bin target/greengageline -record review/2/record.txt
