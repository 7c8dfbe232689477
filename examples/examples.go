// Package examples embeds the example deployments, so that -dev works from any
// folder.
package examples

import _ "embed"

// HaneulDeclaration is the declaration that -dev applies.
//
//go:embed haneul/declaration.json
var HaneulDeclaration []byte

// HaneulOperator is the operator of HaneulDeclaration.
const HaneulOperator = "haneul"
