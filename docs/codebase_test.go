package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"chutechute/internal/counters"
)

const (
	repositoryRoot = ".."
	modulePath     = "chutechute"
	serverFolder   = "internal/server" // the only package whose unexported names pages may use
	onCallHeading  = "## Where do I look when"
	layersHeading  = "## Packages"
	apartHeading   = "### Apart"
)

// codeBase is the index in which names on pages are looked up. It covers the module's sources without tests.
type codeBase struct {
	names            map[string]map[string]bool // Name and Type.Member, by package folder
	foldersByPackage map[string][]string        // package folders, by package name
	imports          map[string][]string        // imported folders of this module, by importing folder
	logMessages      map[string]bool            // messages of slog calls
	literals         map[string]bool            // string literals
	keys             map[string]bool            // JSON keys of configuration and settings
	commands         map[string]bool            // command words and flag names
	counters         map[string]bool            // printed names
	files            fs.FS                      // the repository
}

// readCode reads all sources of the module in root, except tests.
func readCode(root fs.FS) (*codeBase, error) {
	c := &codeBase{names: map[string]map[string]bool{}, foldersByPackage: map[string][]string{},
		imports: map[string][]string{}, logMessages: map[string]bool{}, literals: map[string]bool{},
		keys: map[string]bool{}, commands: map[string]bool{}, counters: map[string]bool{}, files: root}
	set := token.NewFileSet()
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (name == "bench" || entry.Name() == "testdata"): // bench is another module
			return fs.SkipDir
		case entry.IsDir() || path.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		text, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(set, name, text, parser.SkipObjectResolution)
		if err == nil {
			c.addFile(path.Dir(name), file)
		}
		return err
	})
	fields := reflect.TypeFor[counters.Set]()
	for i := range fields.NumField() {
		c.counters[fields.Field(i).Tag.Get("name")] = true
	}
	return c, err
}

// addFile records what a source file declares, imports, logs and contains as literals.
func (c *codeBase) addFile(folder string, file *ast.File) {
	if c.names[folder] == nil {
		c.names[folder] = map[string]bool{}
		c.foldersByPackage[file.Name.Name] = append(c.foldersByPackage[file.Name.Name], folder)
	}
	for _, spec := range file.Imports {
		if in, ok := strings.CutPrefix(unquote(spec.Path), modulePath+"/"); ok {
			c.imports[folder] = append(c.imports[folder], in)
		}
	}
	for _, decl := range file.Decls {
		c.addDeclaration(folder, decl)
	}
	if strings.HasPrefix(folder, "cmd/chutechute") {
		c.addCommands(file)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				c.literals[unquote(n)] = true
			}
		case *ast.CallExpr:
			c.addLogMessage(n)
		case *ast.Field:
			if n.Tag != nil && (folder == "internal/config" || folder == "internal/settings") {
				key, _, _ := strings.Cut(reflect.StructTag(unquote(n.Tag)).Get("json"), ",")
				c.keys[key] = true
			}
		}
		return true
	})
}

// addDeclaration records the names and members that a top-level declaration declares.
func (c *codeBase) addDeclaration(folder string, decl ast.Decl) {
	names := c.names[folder]
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			names[d.Name.Name] = true
			return
		}
		receiver := d.Recv.List[0].Type
		if star, ok := receiver.(*ast.StarExpr); ok {
			receiver = star.X
		}
		if generic, ok := receiver.(*ast.IndexExpr); ok {
			receiver = generic.X
		}
		names[receiver.(*ast.Ident).Name+"."+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[name.Name] = true
				}
			case *ast.TypeSpec:
				names[s.Name.Name] = true
				for _, member := range memberNames(s.Type) {
					names[s.Name.Name+"."+member] = true
				}
			}
		}
	}
}

// memberNames returns the fields of a struct or the methods of an interface.
func memberNames(of ast.Expr) (names []string) {
	var list *ast.FieldList
	switch t := of.(type) {
	case *ast.StructType:
		list = t.Fields
	case *ast.InterfaceType:
		list = t.Methods
	default:
		return nil
	}
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// addCommands records the commands and flags that a file of a command line program declares: values of the field Use,
// the usage argument of helpers that create commands, the first column of command tables, and names of flags.
func (c *codeBase) addCommands(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.KeyValueExpr:
			if of, ok := n.Key.(*ast.Ident); ok && of.Name == "Use" {
				c.command(n.Value)
			}
		case *ast.CallExpr:
			switch name := calledName(n); {
			case len(n.Args) < 2:
			case name == "add" || name == "newDelegated":
				c.command(n.Args[0])
			case name == "newAdminCommand" || strings.HasSuffix(name, "Var"): // after the options, or after the variable
				c.command(n.Args[1])
			}
		case *ast.CompositeLit:
			if n.Type == nil && len(n.Elts) == 4 { // a row of the table of commands that query a front end
				c.command(n.Elts[0])
			}
		}
		return true
	})
}

// command records the first word of a string literal as a command or flag; other expressions are ignored.
func (c *codeBase) command(value ast.Expr) {
	if literal, ok := value.(*ast.BasicLit); ok {
		word, _, _ := strings.Cut(unquote(literal), " ")
		c.commands[word] = true
	}
}

// calledName returns the name of the called function or method, without package or receiver.
func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}

// addLogMessage records the message of a slog call that is a string literal.
func (c *codeBase) addLogMessage(call *ast.CallExpr) {
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	of, ok := f.X.(*ast.Ident)
	if !ok || of.Name != "slog" || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, f.Sel.Name) {
		return
	}
	if message, ok := call.Args[0].(*ast.BasicLit); ok {
		c.logMessages[unquote(message)] = true
	}
}

func unquote(literal *ast.BasicLit) string {
	text, err := strconv.Unquote(literal.Value)
	if err != nil { // the parser rejects malformed literals
		panic(err)
	}
	return text
}
