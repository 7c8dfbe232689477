package config

import (
	"bytes"
	"fmt"
	"strings"
)

// pageHead opens the page. The rest is made from the table.
const pageHead = `# Settings

This page is made from the table in ` + "`protocol/config`" + `; run ` + "`go test ./protocol/config -update`" + ` after changing it.

` + "`shallotstepd -settings FILE`" + ` reads one file of JSON with comments. A file
that names an unknown key, a key twice, a value of another type or out of
bounds, or a key of another role is refused; each fault is told with file, line
and key, all at once. ` + "`-check`" + ` stops after that. Durations are written
as strings, such as "250ms" or "5s". Paths are relative to the settings file.
A change takes effect when the daemon is started again; certificates are
followed while it runs.

Everything listens on the loopback interface unless told otherwise. An address
off it is refused without TLS.
`

// Page returns the page of all settings in Markdown.
func Page() []byte {
	var b bytes.Buffer
	b.WriteString(pageHead)
	b.WriteString("\n| key | roles | value | default | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, t := range table {
		value := t.kind
		if t.bounds != "" {
			value += ", " + t.bounds
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", t.key, joinRoles(t.roles), value, pageDefault(t), t.doc)
	}
	for _, role := range []Role{RoleEntry, RoleAgent} {
		fmt.Fprintf(&b, "\n## Example: %s\n\n```jsonc\n%s```\n", role, Example(role))
	}
	return b.Bytes()
}

func pageDefault(t *setting) string {
	switch {
	case t.required:
		return "required"
	case len(t.roleDef) > 0:
		parts := make([]string, 0, len(t.roleDef))
		for _, role := range t.roles {
			parts = append(parts, fmt.Sprintf("%s: `%s`", role, t.roleDef[role]))
		}
		return strings.Join(parts, ", ")
	case t.def == "":
		return "none"
	default:
		return "`" + t.def + "`"
	}
}
