#!/bin/sh
# Regenerates corepb from core.proto. The generated code is committed, so a build
# doesn't run this script. The tools module pins the versions of the compiler and
# the plugins.
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
