package loadgen

import (
	"fmt"
	"net/url"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/strictjson"
)

// planFile is the JSON form of a plan.
type planFile struct {
	Plan             string        `json:"plan"`
	Seed             uint64        `json:"seed"`
	Length           time.Duration `json:"length"`
	Patience         time.Duration `json:"patience"`
	Loads            []loadFile    `json:"loads"`
	Phases           []phaseFile   `json:"phases"`
	Steps            []stepFile    `json:"steps"`
	Backends         []string      `json:"backends"`
	BackendTokenFile string        `json:"backend_token_file"`
}

type loadFile struct {
	Service        string        `json:"service"`
	TokenFile      string        `json:"token_file"`
	Mix            string        `json:"mix"`
	Work           time.Duration `json:"work"`
	TasksPerJob    string        `json:"tasks_per_job"`
	TasksPerSecond float64       `json:"tasks_per_second"`
	JobsPerSecond  float64       `json:"jobs_per_second"`
	LoadPercent    float64       `json:"load_percent"`
	Deadline       time.Duration `json:"deadline"`
	ResubmitShare  float64       `json:"resubmit_share"`
	CancelShare    float64       `json:"cancel_share"`
}

type phaseFile struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Rate float64       `json:"rate"`
}

type stepFile struct {
	At             time.Duration `json:"at"`
	CancelInFlight bool          `json:"cancel_in_flight"`
	Fault          Fault         `json:"fault"`
	Backend        int           `json:"backend"`
	For            time.Duration `json:"for"`
}

// placeholderRun is the name of the run until SetRun is called, because plan files
// don't contain it. checkReachable also uses it as a prefix of ids.
const placeholderRun = "run"

// ParsePlan parses a plan file, which is JSON with comments. name is the path of the
// file. It is used in errors, and the paths of token files are relative to its
// directory. Errors are of type strictjson.Errors, with the file, line and key of
// each error found.
func ParsePlan(name string, src []byte) (*Plan, error) {
	f := planFile{Length: DefaultLength, Patience: DefaultPatience}
	doc, err := strictjson.DecodeDocument(name, src, &f)
	r := planReader{doc: doc}
	if err != nil && !errors.As(err, &r.errs) {
		return nil, err
	}
	p := r.plan(&f, filepath.Dir(name))
	if err := r.errs.Err(); err != nil {
		return nil, err
	}
	if err := p.Validate(); err != nil {
		return nil, strictjson.Errors{doc.Errorf("", "%v", err)}
	}
	return p, nil
}

// planReader converts a planFile to a Plan and collects the errors.
type planReader struct {
	doc  *strictjson.Document
	errs strictjson.Errors
}

// addError adds an error at a key, unless there is one for the same key already,
// for example from the decoder.
func (r *planReader) addError(key, text string) {
	for _, f := range r.errs {
		if f.Key == key {
			return
		}
	}
	r.errs = append(r.errs, r.doc.Errorf(key, "%s", text))
}

// addFieldError adds an error whose key is relative to key. It ignores nil.
func (r *planReader) addFieldError(key string, fieldErr *fieldError) {
	switch {
	case fieldErr == nil:
	case fieldErr.key == "":
		r.addError(key, fieldErr.msg)
	default:
		r.addError(key+"."+fieldErr.key, fieldErr.msg)
	}
}

func (r *planReader) plan(f *planFile, dir string) *Plan {
	p := &Plan{Name: f.Plan, Backends: f.Backends, BackendTokenFile: resolvePath(dir, f.BackendTokenFile)}
	if f.Plan == "" {
		r.addError("plan", "a plan needs a name")
	}
	if f.Length <= 0 || f.Length > MaxLength {
		r.addError("length", "must be above zero and at most "+MaxLength.String())
	}
	if f.Patience < 0 || f.Patience > MaxPatience {
		r.addError("patience", "must be from zero to "+MaxPatience.String())
	}
	phases := r.phases(f)
	if len(f.Loads) == 0 {
		r.addError("loads", "a plan needs a load")
	}
	for i := range f.Loads {
		c := r.load(fmt.Sprintf("loads[%d]", i), &f.Loads[i], dir)
		c.Length, c.Patience, c.Seed, c.Phases = Duration(f.Length), Duration(f.Patience), f.Seed, phases
		c.Stream, c.Run = uint64(i), placeholderRun
		p.Loads = append(p.Loads, c)
	}
	for i, address := range f.Backends {
		if u, err := url.Parse(address); err != nil || u.Scheme == "" || u.Host == "" {
			r.addError(fmt.Sprintf("backends[%d]", i), "must be a URL such as http://127.0.0.1:7431")
		}
	}
	for i := range f.Steps {
		s := f.Steps[i].step()
		r.addFieldError(fmt.Sprintf("steps[%d]", i), s.validate(f.Length, len(f.Backends)))
		p.Steps = append(p.Steps, s)
	}
	return p
}

// resolvePath returns the path of a file that is named in a plan in dir.
func resolvePath(dir, file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}

func (r *planReader) phases(f *planFile) []Phase {
	var out []Phase
	for _, p := range f.Phases {
		out = append(out, Phase{At: Duration(p.At), For: Duration(p.For), Rate: p.Rate})
	}
	i, fieldErr := validatePhases(out, f.Length)
	r.addFieldError(fmt.Sprintf("phases[%d]", i), fieldErr)
	return out
}

func (r *planReader) load(key string, f *loadFile, dir string) Config {
	const percent = 100
	c := Config{
		Service: f.Service, TokenFile: resolvePath(dir, f.TokenFile),
		TasksPerSecond: f.TasksPerSecond, JobsPerSecond: f.JobsPerSecond, LoadShare: f.LoadPercent / percent,
		Deadline: Duration(f.Deadline), ResubmitShare: f.ResubmitShare, CancelShare: f.CancelShare,
	}
	mix, tasks := f.Mix, f.TasksPerJob
	if mix == "" {
		mix = DefaultMix
	}
	if tasks == "" {
		tasks = DefaultTasks
	}
	work := f.Work
	if mix != fixedMixName && work != 0 {
		r.addError(key+".work", "only the mix fixed has a work")
	}
	var err error
	if c.Mix, err = ParseMix(mix, work); err != nil {
		r.addError(key+".mix", err.Error())
		return c
	}
	if c.Sizes, err = ParseSizes(tasks); err != nil {
		r.addError(key+".tasks_per_job", err.Error())
		return c
	}
	if c.Service == "" {
		c.Service = c.Mix.Service
	}
	r.addFieldError(key, c.validateLoad())
	return c
}

func (f *stepFile) step() Step {
	return Step{
		At: Duration(f.At), CancelInFlight: f.CancelInFlight,
		Fault: f.Fault, Backend: f.Backend, For: Duration(f.For),
	}
}
