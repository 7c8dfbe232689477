package config

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/strictjson"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Load reads a settings file. Errors about its content are strictjson.Errors:
// all faults, each with file, line and key.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("settings %s: larger than %d bytes", path, maxFileBytes)
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, src)
}

// Parse reads settings from src. The name stands in errors, and the paths of
// files are relative to its directory.
func Parse(name string, src []byte) (*Settings, error) {
	s := &Settings{}
	doc, err := strictjson.DecodeDocument(name, src, s)
	var faults strictjson.Errors
	if err != nil && !errors.As(err, &faults) {
		return nil, err
	}
	if bad := checkRole(s); bad != "" {
		// Which other keys belong here can't be said without the role.
		return nil, append(faults, roleFault(doc, faults, bad)...).Err()
	}
	p := parser{settings: s, doc: doc, faults: faults}
	p.run()
	if err := p.faults.Err(); err != nil {
		return nil, err
	}
	s.resolveFiles(filepath.Dir(name))
	return s, nil
}

// roleFault reports a role that is missing or unknown, unless the decoder has.
func roleFault(doc *strictjson.Document, faults strictjson.Errors, bad string) strictjson.Errors {
	for _, f := range faults {
		if f.Key == "role" {
			return nil
		}
	}
	if !doc.Has("role") {
		bad = "missing"
	}
	return strictjson.Errors{doc.Errorf("role", "%s", bad)}
}

// parser applies the table to decoded settings.
type parser struct {
	settings *Settings
	doc      *strictjson.Document
	faults   strictjson.Errors
}

func (p *parser) run() {
	faulty := make(map[string]bool, len(p.faults))
	for _, f := range p.faults {
		faulty[f.Key] = true
	}
	for _, t := range table {
		p.assignDefault(t)
	}
	if p.settings.Advertise.Peer == "" && p.settings.Role == RoleAgent {
		p.settings.Advertise.Peer = p.settings.Listen.Peer
		// One fault is told once.
		faulty["advertise.peer"] = checkListenPeer(p.settings) != ""
	}
	for _, t := range table {
		if !faulty[t.key] {
			p.check(t)
		}
	}
	for _, keys := range together {
		p.checkTogether(keys)
	}
	if p.settings.Role == RoleAgent {
		p.checkRetention()
	}
}

func (p *parser) fail(key, format string, args ...any) {
	p.faults = append(p.faults, p.doc.Errorf(key, format, args...))
}

func (p *parser) assignDefault(t *setting) {
	if t.assign != nil && t.isFor(p.settings.Role) && !p.doc.Has(t.key) {
		t.assign(p.settings, p.settings.Role)
	}
}

func (p *parser) check(t *setting) {
	has := p.doc.Has(t.key)
	switch {
	case has && !t.isFor(p.settings.Role):
		p.fail(t.key, "is no setting of role %s, but of %s", p.settings.Role, joinRoles(t.roles))
	case !t.isFor(p.settings.Role):
	case t.required && !has:
		p.fail(t.key, "missing")
	case t.check != nil && (has || t.assign != nil || t.key == "advertise.peer"):
		if bad := t.check(p.settings); bad != "" {
			p.fail(t.key, "%s", bad)
		}
	}
}

// checkTogether refuses half a key pair: a daemon that took it for no TLS at all
// would speak in clear text.
func (p *parser) checkTogether(keys []string) {
	var missing []string
	for _, key := range keys {
		if !p.doc.Has(key) {
			missing = append(missing, key)
		}
	}
	if len(missing) > 0 && len(missing) < len(keys) {
		for _, key := range missing {
			p.fail(key, "missing: %s belong together", strings.Join(keys, ", "))
		}
	}
}

// checkRetention refuses claims that end before the answers they guard: a
// resubmission would run again while its answer is still at hand.
func (p *parser) checkRetention() {
	r := &p.settings.Retention
	if r.Claims < r.Answers {
		p.fail("retention.claims", "is %s, must be at least retention.answers, %s", brief(r.Claims), brief(r.Answers))
	}
}

// resolveFiles makes relative paths relative to the settings file, so that they
// don't depend on where the process was started.
func (s *Settings) resolveFiles(dir string) {
	for _, path := range []*string{
		&s.Log.TokenFile, &s.Log.CA, &s.Log.Cert, &s.Log.Key,
		&s.TLS.Cert, &s.TLS.Key, &s.TLS.CA,
		&s.HTTPTLS.Cert, &s.HTTPTLS.Key,
		&s.TokensFile, &s.Backend.TokenFile, &s.Backend.CA,
	} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

func joinRoles(roles []Role) string {
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}
