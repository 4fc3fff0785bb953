#!/usr/bin/env bash
# Builds the program that plays the cases of the second review: stand-ins, clients and judges. The
# cases start target/rhubarbpost, which the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/rig2
