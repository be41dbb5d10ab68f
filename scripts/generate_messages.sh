#!/usr/bin/env bash
# Regenerates the committed code of the peer messages: scripts/generate_messages.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/peer/generated
thrift --gen cpp:no_skeleton -out $out src/peer/messages.thrift
# The generated code converts any number from a peer to the enumeration. Without a fixed underlying
# type, numbers outside the range of the enumerators' bits would be undefined behaviour.
sed -i 's/enum type {/enum type : int {/' $out/messages_types.h
