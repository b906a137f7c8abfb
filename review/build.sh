#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. The sources have the ending
# .txt and are built through an overlay.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
overlay=$(mktemp)
trap 'rm -f "$overlay"' EXIT
for source in review/*/main.go.txt; do
	folder=$(dirname "$source")
	printf '{"Replace": {"%s/%s/main.go": "%s/%s", "%s/%s/common.go": "%s/review/common.go.txt"}}' \
		"$PWD" "$folder" "$PWD" "$source" "$PWD" "$folder" "$PWD" >"$overlay"
	go build -overlay "$overlay" -o "target/review/case-$(basename "$folder")" "./$folder"
done
