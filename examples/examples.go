// Package examples embeds the example deployments, so that shallotstepd
// -dev works in any working directory.
package examples

import _ "embed"

// HaneulDeclaration is the declaration that shallotstepd -dev applies.
//
//go:embed haneul/declaration.json
var HaneulDeclaration []byte

// HaneulOperator is the operator of HaneulDeclaration.
const HaneulOperator = "haneul"
