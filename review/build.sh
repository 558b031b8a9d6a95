#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/bin. The programs of the mesh are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -buildvcs=false -o review/bin/rig ./review/rig
