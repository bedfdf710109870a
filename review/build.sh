#!/bin/bash
# Builds the stand-ins that the scripts start. It needs no network after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/_kit/bin/kit ./review/_kit
