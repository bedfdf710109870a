#!/usr/bin/env bash
# Checks spec/share.pml exhaustively, and that each mutant without a guard is caught.
set -euo pipefail
cd "$(dirname "$0")"

work=work/share
mkdir -p "$work"

# verify builds the model with an optimization level and spin options and prints the verifier's report.
verify() {
	local name=$1 optimize=$2
	shift 2
	mkdir -p "$work/$name"
	(
		cd "$work/$name"
		spin -a "$@" ../../../share.pml >spin.log
		gcc "$optimize" -DSAFETY -DNOFAIR -o pan pan.c
		./pan -m20000
	)
}

report=$(verify model -O2)
if ! grep -q 'errors: 0' <<<"$report" || grep -q 'max search depth too small' <<<"$report"; then
	echo "share.pml: the property fails or the search is not exhaustive"
	echo "$report"
	exit 1
fi
echo "share.pml: no errors, $(grep -o '[0-9]* states, stored' <<<"$report" | head -1)"

for guard in $(grep -oE '^#ifndef NO_[A-Z]+' share.pml | awk '{print $2}' | sort -u); do
	# The compiler takes longer than the search for a counterexample, so it does not optimize.
	report=$(verify "$guard" -O0 "-D$guard")
	if ! grep -q 'assertion violated' <<<"$report"; then
		echo "share.pml: the mutant $guard is not caught"
		exit 1
	fi
	echo "share.pml: mutant $guard is caught"
done
