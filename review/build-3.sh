#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in odd drain cold lost; do
  cc -std=gnu11 -O1 -Wall -Wextra -pthread -o "target/review-3/$name" \
    "review/rig-3/$name.c" review/rig-3/rig.c
done
