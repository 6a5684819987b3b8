#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    if [ -f review/$n/case.c ]; then
        ${CC:-gcc} -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation \
            review/$n/case.c review/common-2/kit.c -lpthread \
            -o target/review-2/case-$n
    fi
done
