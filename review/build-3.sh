#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -O1 -Wall -Wextra -pthread -o target/review-3/drain review/rig-3/drain.c \
  review/rig-3/rig.c
