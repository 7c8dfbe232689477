package cli

import (
	"bytes"
	"crypto/x509"
	"fmt"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// connect returns the client that the common flags describe, or an exit code.
func (v *invocation) connect() (*httpclient.Client, int) {
	o := httpclient.Options{Addr: v.addr, Sleep: v.Sleep}
	if v.tokenFile != "" {
		token, code := v.readFile(v.tokenFile)
		if code != ExitDone {
			return nil, code
		}
		o.Token = string(bytes.TrimSpace(token))
	}
	if v.caFile != "" {
		pem, code := v.readFile(v.caFile)
		if code != ExitDone {
			return nil, code
		}
		o.CA = x509.NewCertPool()
		if !o.CA.AppendCertsFromPEM(pem) {
			return nil, v.usageError("%s holds no certificate", v.caFile)
		}
	}
	c, err := httpclient.New(o)
	if err != nil {
		return nil, v.usageError("%v", err)
	}
	return c, ExitDone
}

// failed reports a call that brought no answer and returns the exit code.
func (v *invocation) reportFailure(f *httpclient.Failure) int {
	fmt.Fprintf(v.Stderr, "shallotstep: %s\n", f)
	if v.output == "json" {
		v.printJSON(failureProblem(f))
	}
	if f.NotSent {
		return ExitRefused
	}
	return exitOf(f.Outcome)
}

// failureProblem gives a failure of the client the form of a refusal, so that
// scripts read one form only.
func failureProblem(f *httpclient.Failure) *api.Problem {
	if f.Problem == nil {
		return &api.Problem{Type: "about:blank", Title: "The entry gave no answer", Detail: f.String(), Outcome: f.Outcome}
	}
	p := *f.Problem
	// The client may know less than the latest reply says.
	p.Outcome = f.Outcome
	return &p
}

func (v *invocation) printJSON(doc any) {
	body, err := api.EncodeDocument(doc)
	if err != nil {
		panic(err) // every document has a JSON form
	}
	v.Stdout.Write(body)
}

// print writes a document as JSON, or calls text.
func (v *invocation) print(doc any, text func()) int {
	if v.output == "json" {
		v.printJSON(doc)
	} else {
		text()
	}
	return ExitDone
}

func (v *invocation) printf(format string, args ...any) {
	fmt.Fprintf(v.Stdout, format, args...)
}
