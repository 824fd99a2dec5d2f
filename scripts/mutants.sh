#!/usr/bin/env bash
# Disables one safeguard at a time and runs the test that should then fail. Each line of
# scripts/mutants.txt describes one mutant by five fields, separated by tabs: the file, the text
# to replace, its replacement, the package of the test and the pattern for go test -run. The
# script fails if a test passes in spite of its mutant, or if a mutant can't be made. The
# working tree must have no changes.
set -eu
cd "$(dirname "$0")/.."
if ! git diff --quiet; then
	echo "the working tree has changes; commit them first" >&2
	exit 1
fi
exit_status=0
while IFS=$'\t' read -r file text replacement package run; do
	[ -z "$file" ] && continue
	if ! grep -qF -- "$text" "$file"; then
		echo "text to replace not found: $file: $text"
		exit_status=1
		continue
	fi
	TEXT="$text" WITH="$replacement" perl -0pi -e 's/\Q$ENV{TEXT}\E/$ENV{WITH}/' "$file"
	if ! go build "$package" >/dev/null 2>&1; then
		echo "does not build: $file: $text"
		exit_status=1
	elif go test -count=1 "$package" -run "$run" >/dev/null 2>&1; then
		echo "missed: $file: $text"
		exit_status=1
	else
		echo "caught: $file: $text"
	fi
	git checkout -q -- "$file"
done <scripts/mutants.txt
exit "$exit_status"
