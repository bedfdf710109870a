#!/usr/bin/env bash
# Checks the placement lease under a store that goes back exhaustively at small bounds, with three owners and with more
# writes of two, and shows that each guard is needed: the mutant without it must fail at one of the bounds.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p work
bounds=("-DOWNERS=2 -DWRITES=4" "-DOWNERS=3 -DWRITES=3")

# search NAME OPTIMIZE DEFINE... runs the verifier in work/NAME and writes its log there.
search() {
	local dir=work/$1 level=$2
	shift 2
	rm -rf "$dir"
	mkdir -p "$dir"
	(cd "$dir" && spin "$@" -a ../../lease.pml >spin.log && gcc -w "$level" -DSAFETY -DNOFAIR -o pan pan.c && ./pan -m200000 >pan.log 2>&1) || true
}

# mutant GUARD fails unless the specification without the guard violates an assertion.
mutant() {
	local b
	for b in "${bounds[@]}"; do
		# shellcheck disable=SC2086
		search "lease-$1" -O1 $b "-D$1"
		if grep -q 'assertion violated' "work/lease-$1/pan.log"; then
			echo "lease-$1: caught after $(awk '/states, stored/ {print $1}' "work/lease-$1/pan.log") states"
			return 0
		fi
	done
	echo "lease-$1: the mutant is not caught"
	return 1
}

if [ "${1:-}" = mutant ]; then
	mutant "$2"
	exit
fi

# The mutants are checked beside the specification itself.
grep -o 'NO_[A-Z]\+' lease.pml | sort -u | xargs -P 2 -n 1 bash check-lease.sh mutant &
mutants=$!

for b in "${bounds[@]}"; do
	# shellcheck disable=SC2086
	search lease -O2 $b
	if ! grep -q 'errors: 0' work/lease/pan.log || grep -q -e 'depth too small' -e 'out of memory' work/lease/pan.log; then
		echo "lease: a property fails or the search was cut short, at $b"
		cat work/lease/pan.log
		wait
		exit 1
	fi
	echo "lease: $(awk '/states, stored/ {print $1}' work/lease/pan.log) states, no error, at $b"
done
wait "$mutants"
