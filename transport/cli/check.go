package cli

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/tailscale/hujson"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// declaration reads a declaration's file and finds whose it is.
func (v *invocation) declaration(name string) (raw []byte, operator string, code int) {
	raw, code = v.readFile(name)
	if code != ExitDone {
		return nil, "", code
	}
	f, err := declaration.Parse(name, raw)
	if err != nil {
		return nil, "", v.usageError("%v", err)
	}
	return raw, f.Operator, ExitDone
}

// checked is the finding on one file.
type checkResult struct {
	File  string `json:"file"`
	Kind  string `json:"kind"`
	Error string `json:"fault,omitempty"`
}

func runCheck(_ context.Context, v *invocation) int {
	code := ExitDone
	results := make([]checkResult, 0, len(v.args))
	for _, name := range v.args {
		raw, rc := v.readFile(name)
		if rc != ExitDone {
			return rc
		}
		c := checkFile(name, raw)
		if c.Error != "" {
			code = ExitRefused
		}
		results = append(results, c)
	}
	v.print(results, func() {
		for _, c := range results {
			v.printf("%s\n", c)
		}
	})
	return code
}

// String returns the finding for a person.
func (c checkResult) String() string {
	if c.Error == "" {
		return c.File + ": ok, a " + c.Kind
	}
	return c.Error
}

// checkFile tells the kinds of files apart by a field that only one of them
// has: settings have a role, job files a kind, plans a plan.
func checkFile(name string, raw []byte) checkResult {
	fields := topLevelFields(raw)
	switch {
	case fields["kind"] != nil:
		_, p := api.DecodeFile("", raw)
		if p != nil {
			return checkResult{File: name, Kind: "job file", Error: name + ": " + p.Detail}
		}
		return checkResult{File: name, Kind: "job file"}
	case fields["role"] != nil:
		_, err := settings.Parse(name, raw)
		return newCheckResult(name, "settings file", err)
	case fields["plan"] != nil:
		_, err := loadgen.ParsePlan(name, raw)
		return newCheckResult(name, "plan", err)
	}
	_, err := declaration.Parse(name, raw)
	return newCheckResult(name, "declaration", err)
}

func newCheckResult(name, kind string, err error) checkResult {
	c := checkResult{File: name, Kind: kind}
	if err != nil {
		c.Error = err.Error()
	}
	return c
}

// fieldsOf returns the fields of a file, or none if it can't be read: the
// parser of its kind then says what is wrong.
func topLevelFields(raw []byte) map[string]json.RawMessage {
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(plain, &fields) != nil {
		return nil
	}
	return fields
}
