package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenario brings about a disruption, unless trouble is false, and returns the breaches of its rule.
type scenario struct {
	entries, agents int
	cpu             int64
	slack           float64
	limit           time.Duration
	// from is when play begins. The agents offer themselves as owners in the first five seconds.
	from time.Duration
	play func(w *world, random *rand.Rand, trouble bool) []string
}

func main() { os.Exit(runMain()) }

func runMain() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the record to write")
	seed := flag.Uint64("seed", uint64(os.Getpid()), "the seed")
	keep := flag.Bool("keep", false, "keep the daemons' logs")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return couldNot
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.flush()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.sayf("case %s, seed %d, disruption: %v", *name, *seed, trouble)
	for range maxTries {
		code, fit := s.run(rec, *seed, trouble, *keep)
		if fit {
			return code
		}
		rec.sayf("this deployment can't show the case")
	}
	return couldNot
}

// maxTries is how many deployments are started until one can show the case.
const maxTries = 4

// run plays the scenario with a new deployment. It returns the exit code, and whether the deployment
// could show the case.
func (s *scenario) run(rec *record, seed uint64, trouble, keep bool) (int, bool) {
	began := rec.now()
	w, err := newWorld(rec, s.entries, s.agents, s.cpu, s.slack, s.limit)
	if w != nil {
		defer w.close(keep)
	}
	if err != nil {
		rec.sayf("the deployment did not start: %v", err)
		return couldNot, true
	}
	random := rand.New(rand.NewPCG(seed, 2))
	if err := w.awaitService(random); err != nil {
		rec.sayf("no service: %v", err)
		return couldNot, true
	}
	time.Sleep(began + s.from - rec.now())
	breaches := s.play(w, random, trouble)
	if w.unfit {
		return couldNot, false
	}
	for _, d := range w.daemons {
		if d.crashes > 0 {
			breaches = append(breaches, d.name+" ended by itself")
		}
	}
	for _, b := range breaches {
		rec.sayf("broken: %s", b)
	}
	rec.sayf("%d breaches", len(breaches))
	if len(breaches) > 0 {
		return broken, true
	}
	return held, true
}
