package cli

import (
	"bytes"
	"crypto/x509"
	"fmt"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// connect returns a client configured by the common flags, or an exit code other than ExitDone.
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
			return nil, v.usageError("%s contains no valid PEM certificate", v.caFile)
		}
	}
	c, err := httpclient.New(o)
	if err != nil {
		return nil, v.usageError("%v", err)
	}
	return c, ExitDone
}

// reportFailure prints the reason why a call returned no answer and returns the exit code.
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

// failureProblem converts a failure of the client to a problem document, so that scripts only need
// to parse one form.
func failureProblem(f *httpclient.Failure) *api.Problem {
	if f.Problem == nil {
		return &api.Problem{Type: "about:blank", Title: "The entry gave no answer", Detail: f.String(), Outcome: f.Outcome}
	}
	p := *f.Problem
	// The outcome may be unknown because of an earlier attempt, although the last reply
	// states one.
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

// print writes doc as JSON if the flag -output says so, and calls text otherwise. It returns
// ExitDone.
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
