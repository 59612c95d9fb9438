#!/bin/bash
# Builds the stand-ins of the scripts; the program itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand review/stand/*.go
