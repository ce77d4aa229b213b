#!/usr/bin/env bash
# Runs the case; needs the programs of the deploy file and of review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stand -case many-stops -bin target/greengageline -record review/5/record.txt
