// Package wire holds the protobuf types that azuredeal's own processes exchange
// and the records they keep in the platform. The types are generated from
// wire.proto; `go generate` needs the tools pinned in tools/gen.
package wire

//go:generate sh -c "cd ../tools/gen && go build -o ../../bin/ tool && cd ../.. && PATH=${DOLLAR}PWD/bin:${DOLLAR}PATH bin/buf generate wire"
