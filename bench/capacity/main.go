// Command capacity measures what one daemon keeps in memory and spends for each
// event at the size that the users aim for: 990 agents in 2 regions with 2
// failure domains each, 280 operators, 2,200 changes of configuration a day.
// docs/CAPACITY.md works out the roles' budgets from these slopes.
//
// It runs plain objects in one process and in virtual time. Heaps are what is
// left after collections; processor time is that of the whole process on one
// thread, collections included, so it holds a little of the harness as well.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"
)

var only = flag.String("part", "", "measure this part only")

// part is one group of measurements.
type part struct {
	name string
	run  func(*table)
}

var parts = []part{
	{"roster", measureRoster},
	{"agent", measureAgent},
	{"entry", measureEntry},
	{"quiet", measureQuiet},
	{"home", measureHome},
	{"witness", measureWitness},
	{"pull", measurePull},
	{"admission", measureAdmission},
	{"submission", measureSubmission},
	{"domain", measureDomain},
	{"recovery", measureRecovery},
}

func main() {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	began := time.Now()
	t := newTable(tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0))
	for _, p := range parts {
		if *only == "" || *only == p.name {
			t.part = p.name
			p.run(t)
		}
	}
	t.flush()
	fmt.Printf("took %s, at most %d MB resident\n", time.Since(began).Round(time.Second), usage().Maxrss>>10)
}

// table prints one line for each figure.
type table struct {
	out  *tabwriter.Writer
	part string
}

func newTable(out *tabwriter.Writer) *table {
	fmt.Fprintln(out, "part\twhat\tfigure\tunit")
	return &table{out: out}
}

func (t *table) add(what string, figure float64, unit string) {
	fmt.Fprintf(t.out, "%s\t%s\t%.4g\t%s\n", t.part, what, figure, unit)
	t.flush()
}

// addCost prints what one event costs.
func (t *table) addCost(what string, c cost) {
	t.add(what, c.micros, "us")
	t.add(what, c.allocs, "allocations")
}

func (t *table) flush() { _ = t.out.Flush() }
