#!/bin/sh
# Regenerates corepb from core.proto. The result is committed, so a build needs
# none of this. The compiler and the plugins come, pinned, from the tools module.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../../tools && go build -o "$bin/" \
  ./protogen \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  google.golang.org/grpc/cmd/protoc-gen-go-grpc)
for plugin in protoc-gen-go protoc-gen-go-grpc; do
  "$bin/protogen" -request core.proto -parameter paths=source_relative > "$bin/request"
  "$bin/$plugin" < "$bin/request" > "$bin/answer"
  "$bin/protogen" -write corepb < "$bin/answer"
done
