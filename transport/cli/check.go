package cli

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/shallotstep/shallotstep/protocol/api"
)

// declaration reads a declaration's file and finds whose it is.
func (v *invocation) declaration(name string) (raw []byte, operator string, code int) {
	raw, code = v.readFile(name)
	if code != ExitDone {
		return nil, "", code
	}
	operator, err := operatorOf(raw)
	if err != nil {
		return nil, "", v.usageError("%s: %v", name, err)
	}
	return raw, operator, ExitDone
}

func operatorOf(raw []byte) (string, error) {
	var head struct {
		Operator string `json:"operator"`
	}
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(plain, &head); err != nil {
		return "", err
	}
	if p := api.CheckOperator(head.Operator); p != nil {
		return "", errors.New(p.Detail)
	}
	return head.Operator, nil
}

func runCheck(_ context.Context, v *invocation) int {
	code := ExitDone
	for _, name := range v.args {
		raw, rc := v.readFile(name)
		if rc != ExitDone {
			return rc
		}
		if err := checkFile(name, raw); err != nil {
			v.printf("%s: %v\n", name, err)
			code = ExitRefused
			continue
		}
		v.printf("%s: ok\n", name)
	}
	return code
}

// checkFile tells the kinds of files apart by a field that only one has.
func checkFile(name string, raw []byte) error {
	var fields map[string]json.RawMessage
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(plain, &fields); err != nil {
		return err
	}
	if _, ok := fields["kind"]; ok {
		return checkJob(raw)
	}
	_, err = operatorOf(raw)
	return err
}

func checkJob(raw []byte) error {
	if _, p := api.DecodeFile("", raw); p != nil {
		return errors.New(p.Detail)
	}
	return nil
}
