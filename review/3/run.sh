#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the losses of disks.
# What was sent, answered and run goes to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/release/review-stand copy-memory review/3/record.txt
