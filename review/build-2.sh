#!/usr/bin/env bash
# Builds the programs of the scripts of the second review, with their stand-ins, into
# target/review-2. The sources end in .go.txt, so that CI does not build them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
for source in review/[4-8]/case.go.txt; do
  [ -e "$source" ] || continue
  folder=$(dirname "$source")
  printf '{"Replace": {"%s/%s/main.go": "%s/%s", "%s/%s/lib.go": "%s/review/common-2/lib.go.txt"}}' \
    "$PWD" "$folder" "$PWD" "$source" "$PWD" "$folder" "$PWD" >"$overlay"
  go build -overlay "$overlay" -o "target/review-2/case-$(basename "$folder")" "./$folder"
done
