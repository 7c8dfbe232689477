package config

import (
	"bytes"
	"fmt"
	"strings"
)

// Example returns a settings file for a role that parses as it stands. It shows
// every setting with its text; those that may be left out are comments.
func Example(role Role) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "// Settings of a daemon in the role %s. What is commented out may be left\n", role)
	b.WriteString("// out; the value shown is then the default, or an example if there is none.\n{\n")
	group := ""
	for _, t := range table {
		if !t.isFor(role) {
			continue
		}
		outer, name, nested := strings.Cut(t.key, ".")
		if !nested {
			outer, name = "", t.key
		}
		if outer != group {
			closeGroup(&b, group)
			openGroup(&b, outer)
			group = outer
		}
		writeSetting(&b, t, name, role, nested)
	}
	closeGroup(&b, group)
	b.WriteString("}\n")
	return b.Bytes()
}

func openGroup(b *bytes.Buffer, group string) {
	if group != "" {
		fmt.Fprintf(b, "  %q: {\n", group)
	}
}

func closeGroup(b *bytes.Buffer, group string) {
	if group != "" {
		b.WriteString("  },\n")
	}
}

func writeSetting(b *bytes.Buffer, t *setting, name string, role Role, nested bool) {
	indent := "  "
	if nested {
		indent = "    "
	}
	value := t.defaultFor(role)
	if value == "" {
		value = t.sample
	}
	if t.key == "role" {
		value = quote(string(role))
	}
	fmt.Fprintf(b, "%s// %s\n", indent, t.doc)
	mark := ""
	if !t.required {
		mark = "// "
	}
	fmt.Fprintf(b, "%s%s%q: %s,\n", indent, mark, name, value)
}
