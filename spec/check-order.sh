#!/usr/bin/env bash
# Checks the order protocol exhaustively at small bounds and shows that each guard is needed: the mutant without it
# must fail.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p work

# build NAME OPTIMIZE DEFINE... writes the verifier work/NAME/pan. The mutants fail early, so that compiling them fast
# matters more than their speed.
build() {
	local dir=work/$1 level=$2
	shift 2
	rm -rf "$dir"
	mkdir -p "$dir"
	(cd "$dir" && spin "$@" -a ../../order.pml >spin.log && gcc -w "$level" -DSAFETY -DNOFAIR -DVECTORSZ=2048 -o pan pan.c)
}

# mutant GUARD fails unless the specification without the guard violates an assertion.
mutant() {
	local dir=work/order-$1
	build "order-$1" -O0 "-D$1"
	(cd "$dir" && ./pan -m200000 >pan.log 2>&1) || true
	if ! grep -q 'assertion violated' "$dir/pan.log"; then
		echo "order-$1: the mutant is not caught"
		return 1
	fi
	echo "order-$1: caught after $(awk '/states, stored/ {print $1}' "$dir/pan.log") states"
}

if [ "${1:-}" = mutant ]; then
	mutant "$2"
	exit
fi

# The mutants are checked beside the specification itself.
grep -o 'NO_[A-Z]\+' order.pml | sort -u | xargs -P 2 -n 1 bash check-order.sh mutant &
mutants=$!

build order -O2
(cd work/order && ./pan -m200000 >pan.log 2>&1) || true
if ! grep -q 'errors: 0' work/order/pan.log || grep -q -e 'depth too small' -e 'out of memory' work/order/pan.log; then
	echo "order: a property fails or the search was cut short"
	cat work/order/pan.log
	wait
	exit 1
fi
echo "order: $(awk '/states, stored/ {print $1}' work/order/pan.log) states, no error"
wait "$mutants"
