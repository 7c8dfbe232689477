//go:build !race

package member

import (
	"slices"
	"testing"
)

// missingSeeds bounds the search for a run that notices a missing safeguard.
const missingSeeds = 200

// Each safeguard is taken out in turn: the model must notice, or the safeguard
// guards nothing.
func TestModelNoticesEachMissingGuardOfTheShortWait(t *testing.T) {
	for name, missing := range map[string]struct {
		disabled safeguards
		kind     string
	}{
		"signs":    {safeguards{signs: true}, "cut"},
		"question": {safeguards{question: true}, "cut"},
		"span":     {safeguards{span: true}, "flapping cut, flapping log"},
		"unbroken": {safeguards{unbroken: true}, "cut, log out of service at the first question"},
		"back":     {safeguards{back: true}, "cut"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at := slices.IndexFunc(kinds, func(k kind) bool { return k.name == missing.kind })
			for seed := range uint64(missingSeeds) {
				if wrong := kinds[at].run(seed, missing.disabled).wrong; wrong > 0 {
					t.Logf("without %s: %s, seed %d, %d living members evicted", name, missing.kind, seed, wrong)
					return
				}
			}
			t.Errorf("nothing went wrong without %s", name)
		})
	}
}
