package docs_test

import (
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = ".."

// pagePaths returns the paths of the checked documents, relative to the root.
func pagePaths(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, pattern := range []string{"*.md", "docs/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range found {
			name, err := filepath.Rel(root, f)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, filepath.ToSlash(name))
		}
	}
	return out
}

// readPage returns the text of a document without its code blocks, in which brackets are not
// links.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return codeBlock.ReplaceAllString(string(text), "")
}

// rootDirectories are the directories at the root, sorted. A word that begins with none of them,
// such as the reason `internal`, is not taken for a path.
var rootDirectories = []string{
	".ci", "cmd", "coordination", "daemon", "deploy", "docs", "examples", "journal", "platform", "protocol", "review", "soak", "state", "tools", "transport",
}

// alternation returns a pattern that matches each of the names literally.
func alternation(names []string) string {
	quoted := make([]string, len(names))
	for i, n := range names {
		quoted[i] = regexp.QuoteMeta(n)
	}
	return strings.Join(quoted, "|")
}

var (
	codeBlock = regexp.MustCompile("(?ms)^```.*?^```$")
	link      = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading   = regexp.MustCompile(`(?m)^#+ (.+)$`)
	codeSpan  = regexp.MustCompile("`([^`\n]+)`")
	// repositoryPath matches a word that begins with one of rootDirectories, or the name of a
	// file at the root.
	repositoryPath = regexp.MustCompile(`^(?:\./)?((?:` + alternation(rootDirectories) + `)(?:/[\w.@-]+)*|[\w-]+\.(?:md|mod|sum|txt))$`)
	notInAnchor    = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// optionalFiles maps files that a page may name although they can be missing to the reason.
var optionalFiles = map[string]string{
	"KNOWN-RED.txt": "exists only while it lists a failing test",
}

// anchors returns the anchor ids that a Markdown renderer generates for the headings of a page.
func anchors(text string) map[string]bool {
	out := make(map[string]bool)
	for _, h := range heading.FindAllStringSubmatch(text, -1) {
		id := notInAnchor.ReplaceAllString(strings.ToLower(h[1]), "")
		out[strings.ReplaceAll(id, " ", "-")] = true
	}
	return out
}

func TestEveryRelativeLinkLeadsSomewhere(t *testing.T) {
	// Guards against links that are broken when a file is moved or a heading is
	// reworded. No other check notices them.
	is := is.New(t)
	checked := 0
	for _, name := range pagePaths(t) {
		for _, l := range link.FindAllStringSubmatch(readPage(t, name), -1) {
			if strings.Contains(l[1], "://") || strings.HasPrefix(l[1], "mailto:") {
				continue
			}
			checked++
			file, anchor, _ := strings.Cut(l[1], "#")
			target := name
			if file != "" {
				target = path.Join(path.Dir(name), file)
			}
			if _, err := os.Stat(filepath.Join(root, target)); err != nil {
				t.Errorf("page %s links to %s, which does not exist", name, l[1])
				continue
			}
			if anchor != "" && !anchors(readPage(t, target))[anchor] {
				t.Errorf("page %s links to %s, but the target has no such heading", name, l[1])
			}
		}
	}
	is.True(checked > 0) // the pattern still finds links
}

func TestDirectoriesAreThoseAtTheRoot(t *testing.T) {
	// If a directory is renamed or added without a change of rootDirectories,
	// TestEveryNamedPathIsThere ignores the paths under it.
	is := is.New(t)
	tracked, err := exec.Command("git", "-C", root, "ls-tree", "-d", "--name-only", "HEAD").Output()
	is.NoErr(err)
	is.Equal(strings.Fields(string(tracked)), rootDirectories)
}

func TestEveryNamedPathIsThere(t *testing.T) {
	// Guards against pages that still name a file or package by its path before it
	// was moved or renamed.
	is := is.New(t)
	checked := 0
	for _, name := range pagePaths(t) {
		for _, c := range codeSpan.FindAllStringSubmatch(readPage(t, name), -1) {
			for _, word := range strings.Fields(c[1]) {
				m := repositoryPath.FindStringSubmatch(strings.TrimSuffix(word, "/..."))
				if m == nil || optionalFiles[m[1]] != "" {
					continue
				}
				checked++
				if !pathExists(name, m[1]) {
					t.Errorf("page %s names %s, which does not exist", name, m[1])
				}
			}
		}
	}
	is.True(checked > 0) // the pattern still finds paths
}

// pathExists reports whether a path that a page names exists, relative to the root or to the
// page's directory.
func pathExists(page, name string) bool {
	for _, p := range []string{name, path.Join(path.Dir(page), name)} {
		if _, err := os.Stat(filepath.Join(root, p)); err == nil {
			return true
		}
	}
	return false
}
