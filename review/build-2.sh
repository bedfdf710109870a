#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review2-fleet ./review/_fleet
