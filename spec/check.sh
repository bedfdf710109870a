#!/usr/bin/env bash
# Runs the model checks. The parts are independent of each other.
set -euo pipefail
cd "$(dirname "$0")"
bash check-order.sh
bash check-lease.sh
if [ -f check-share.sh ]; then
	bash check-share.sh
fi
