package cli

import (
	"context"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// defaultTries is how often a submission is sent before giving up.
const defaultMaxAttempts = 4

func submitFlags(v *invocation) {
	v.flags.StringVar(&v.service, "service", "", "the `name` of the service, instead of the file's")
	v.flags.BoolVar(&v.wait, "wait", true, "wait for the results; with -wait=false only until the job is accepted")
	v.flags.IntVar(&v.maxAttempts, "tries", defaultMaxAttempts, "how often to send it at most, each time under the same id")
}

func runSubmit(ctx context.Context, v *invocation) int {
	body, code := v.readFile(v.args[0])
	if code != ExitDone {
		return code
	}
	s, p := api.DecodeFile(v.service, body)
	if p != nil {
		return v.usageError("%s: %s", v.args[0], p.Detail)
	}
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	send := c.SubmitWithRetry
	if !v.wait {
		send = c.AcceptWithRetry
	}
	a, f := send(ctx, s, v.maxAttempts)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(a, func() { v.printAnswer(a) })
}

func (v *invocation) printAnswer(a api.Answer) {
	v.printf("%s: %s\n", a.ID, state.Outcome(a.Outcome))
	for i, r := range a.Results {
		v.printf("%d\t%s\n", i, r)
	}
	if s := a.Stats; s != nil {
		v.printf("elapsed %.1f ms, longest task %.1f ms\n", s.ElapsedMS, s.LongestMS)
	}
}

// job returns the job that the arguments name and a client to ask for it, or an
// exit code.
func (v *invocation) job() (state.JobKey, *httpclient.Client, int) {
	key := state.JobKey{Service: v.args[0], ID: v.args[1]}
	if p := api.CheckService(key.Service); p != nil {
		return key, nil, v.usageError("%s", p.Detail)
	}
	if p := api.CheckID(key.ID); p != nil {
		return key, nil, v.usageError("%s", p.Detail)
	}
	c, code := v.connect()
	return key, c, code
}

func runState(ctx context.Context, v *invocation) int {
	key, c, code := v.job()
	if code != ExitDone {
		return code
	}
	a, f := c.Query(ctx, key)
	if f != nil {
		return v.reportFailure(f)
	}
	return v.print(a, func() { v.printAnswer(a) })
}

func runCancel(ctx context.Context, v *invocation) int {
	key, c, code := v.job()
	if code != ExitDone {
		return code
	}
	a, f := c.Cancel(ctx, key)
	if f != nil {
		return v.reportFailure(f)
	}
	v.print(a, func() { v.printf("%s: %s\n", a.ID, cancelResult(a)) })
	if a.Reason == state.ReasonCancelled {
		return ExitDone
	}
	return ExitRefused
}

func cancelResult(a api.Answer) string {
	if a.Reason == state.ReasonCancelled {
		return "cancelled (" + state.Outcome(a.Outcome).String() + ")"
	}
	return "too late, it is " + state.Outcome(a.Outcome).String()
}
