// Command protogen replaces protoc where only the go command is available. It
// compiles a .proto file into the CodeGeneratorRequest that protoc plugins read,
// and writes the files in a plugin's CodeGeneratorResponse.
//
//	protogen -request core.proto -parameter paths=source_relative | protoc-gen-go | protogen -write corepb
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	source := flag.String("request", "", "write the CodeGeneratorRequest for this .proto `file` to standard output")
	parameter := flag.String("parameter", "", "parameter for the plugin, such as paths=source_relative")
	dir := flag.String("write", "", "read a CodeGeneratorResponse from standard input and write its files into this `directory`")
	flag.Parse()
	err := run(*source, *parameter, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(source, parameter, dir string) error {
	if source != "" {
		return writeRequest(source, parameter)
	}
	return writeFiles(dir)
}

// writeRequest compiles a .proto file and writes the request for it to standard output. It
// includes the comments of the file, because plugins copy them to their output.
func writeRequest(source, parameter string) error {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := c.Compile(context.Background(), source)
	if err != nil {
		return err
	}
	req := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{source},
		Parameter:      proto.String(parameter),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	}
	out, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}

// writeFiles reads a plugin's response from standard input and writes its files into dir. It
// returns the error in the response, if there is one.
func writeFiles(dir string) error {
	in, err := io.ReadAll(os.Stdin)
	if err != nil {
		return err
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(in, &resp); err != nil {
		return err
	}
	if resp.Error != nil {
		return fmt.Errorf("the plugin failed: %s", resp.GetError())
	}
	for _, f := range resp.GetFile() {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
