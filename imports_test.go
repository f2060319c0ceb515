package primrosespar_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const modulePath = "primrosespar.example/primrosespar"

// corePackages returns the directories of the packages that make the decisions,
// which have to be deterministic.
func corePackages() []string {
	return []string{
		".",
		"internal/request/claimer", "internal/request/minter", "internal/request/admitter",
		"internal/request/balancer", "internal/request/retrier",
		"internal/place/packer", "internal/place/planner", "internal/place/estimator",
		"internal/place/assembler", "internal/place/cleaner", "internal/place/quarantiner",
		"internal/member/leaser", "internal/member/watcher", "internal/member/divider",
		"internal/contract/parser", "internal/contract/checker", "internal/record/reporter",
		"internal/fleet/scheduler", "internal/fleet/encoder", "internal/fleet/accountant", "internal/fleet/assessor",
		"internal/fleet/indexer", "internal/fleet/evacuator", "internal/fleet/lessor", "internal/fleet/inspector", "internal/fleet/maintainer",
		"internal/fleet/pacer", "internal/fleet/postponer", "internal/fleet/ranker", "internal/fleet/reserver", "internal/fleet/admitter",
		"internal/entry/budgeter",
	}
}

// forbiddenImports returns packages that provide sockets, files, processes or
// random numbers.
func forbiddenImports() []string {
	return []string{"net", "net/http", "os", "os/exec", "syscall", "math/rand", "math/rand/v2", "crypto/rand"}
}

// forbiddenCalls returns functions of package time that read the wall clock or
// start timers.
func forbiddenCalls() []string {
	return []string{"Now", "Since", "Until", "After", "Sleep", "NewTimer", "NewTicker", "Tick", "AfterFunc"}
}

// packageSource holds the files and imports of one package and its forbidden imports and
// calls, without its tests.
type packageSource struct {
	files      int
	imports    map[string]string // import path to a file that imports it
	violations []string
}

// parsePackage parses the package in a directory, without its tests.
func parsePackage(t *testing.T, dir string) packageSource {
	p := packageSource{imports: map[string]string{}}
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		p.files++
		timeName := ""
		for _, i := range file.Imports {
			imported, err := strconv.Unquote(i.Path.Value)
			require.NoError(t, err)
			p.imports[imported] = name
			if imported == "time" {
				timeName = "time"
				if i.Name != nil {
					timeName = i.Name.Name
				}
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := selector.X.(*ast.Ident); ok && x.Name == timeName && x.Obj == nil && slices.Contains(forbiddenCalls(), selector.Sel.Name) {
				p.violations = append(p.violations, name+" uses time."+selector.Sel.Name)
			}
			return true
		})
	}
	for _, imported := range forbiddenImports() {
		if name, ok := p.imports[imported]; ok {
			p.violations = append(p.violations, name+" imports "+imported)
		}
	}
	return p
}

// TestCoreHasNoInputOrOutput guards against a decision that depends on a
// socket, file, timer, random number or wall clock, directly or through another
// package of the module. A test could not repeat such a decision.
func TestCoreHasNoInputOrOutput(t *testing.T) {
	visited := map[string]bool{}
	var visit func(dir, importedBy string)
	visit = func(dir, importedBy string) {
		if visited[dir] {
			return
		}
		visited[dir] = true
		p := parsePackage(t, dir)
		require.Positive(t, p.files, "no sources in %s", dir)
		for _, violation := range p.violations {
			t.Errorf("%s (imported by %s)", violation, importedBy)
		}
		for imported := range p.imports {
			if inner, ok := strings.CutPrefix(imported, modulePath+"/"); ok {
				visit(inner, importedBy+" -> "+dir)
			}
		}
	}
	for _, dir := range corePackages() {
		visit(dir, "the core")
	}
}

// TestProductDoesNotImportStandin guards against a product that contains the
// simulated platform, and against internal packages that depend on the adapter
// for the users' platform.
func TestProductDoesNotImportStandin(t *testing.T) {
	checked := 0
	for _, root := range []string{"cmd/primrosespar", "internal", "platform"} {
		require.NoError(t, filepath.WalkDir(root, func(dir string, d fs.DirEntry, err error) error {
			if err != nil || !d.IsDir() {
				return err
			}
			if dir = path.Clean(filepath.ToSlash(dir)); dir == "internal/standin" || dir == "platform/standin" {
				return fs.SkipDir
			}
			for imported, file := range parsePackage(t, dir).imports {
				checked++
				if strings.HasPrefix(imported, modulePath+"/internal/standin") || strings.HasPrefix(imported, modulePath+"/platform/standin") {
					t.Errorf("%s imports %s", file, imported)
				}
				if strings.HasPrefix(imported, modulePath+"/platform") && strings.HasPrefix(dir, "internal") {
					t.Errorf("%s imports the adapter %s", file, imported)
				}
			}
			return nil
		}))
	}
	require.Positive(t, checked)
}
