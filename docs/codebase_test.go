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
	repository  = ".."
	modulePath  = "chutechute"
	driver      = "internal/server" // the only package whose unexported names the page may use
	onCallTable = "## Where do I look when"
	layers      = "## Packages"
	apart       = "### Apart"
)

// codeBase is what the page's names are compared with: the module's sources without tests.
type codeBase struct {
	names    map[string]map[string]bool // by package folder: Name, Type.Member
	byName   map[string][]string        // folders by the name of their package
	imports  map[string][]string        // folders of this module, by folder
	logs     map[string]bool            // messages of log/slog calls
	literals map[string]bool            // string literals
	keys     map[string]bool            // JSON keys of configuration and settings
	commands map[string]bool            // words and flags of the command lines
	counters map[string]bool
	files    fs.FS
}

// readCode reads all sources of the module below a folder.
func readCode(root fs.FS) (*codeBase, error) {
	c := &codeBase{names: map[string]map[string]bool{}, byName: map[string][]string{}, imports: map[string][]string{},
		logs: map[string]bool{}, literals: map[string]bool{}, keys: map[string]bool{}, commands: map[string]bool{},
		counters: map[string]bool{}, files: root}
	set := token.NewFileSet()
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (name == "bench" || entry.Name() == "testdata"): // another module; no code of this one
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
			c.add(path.Dir(name), file)
		}
		return err
	})
	fields := reflect.TypeFor[counters.Set]()
	for i := range fields.NumField() {
		c.counters[fields.Field(i).Tag.Get("name")] = true
	}
	return c, err
}

// add notes what a file declares.
func (c *codeBase) add(folder string, file *ast.File) {
	if c.names[folder] == nil {
		c.names[folder] = map[string]bool{}
		c.byName[file.Name.Name] = append(c.byName[file.Name.Name], folder)
	}
	for _, spec := range file.Imports {
		if in, ok := strings.CutPrefix(unquoted(spec.Path), modulePath+"/"); ok {
			c.imports[folder] = append(c.imports[folder], in)
		}
	}
	for _, decl := range file.Decls {
		c.declare(folder, decl)
	}
	if strings.HasPrefix(folder, "cmd/chutechute") {
		c.commandsOf(file)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				c.literals[unquoted(n)] = true
			}
		case *ast.CallExpr:
			c.logCall(n)
		case *ast.Field:
			if n.Tag != nil && (folder == "internal/config" || folder == "internal/settings") {
				key, _, _ := strings.Cut(reflect.StructTag(unquoted(n.Tag)).Get("json"), ",")
				c.keys[key] = true
			}
		}
		return true
	})
}

func (c *codeBase) declare(folder string, decl ast.Decl) {
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
				for _, member := range membersOf(s.Type) {
					names[s.Name.Name+"."+member] = true
				}
			}
		}
	}
}

// membersOf gives the fields of a struct or the methods of an interface.
func membersOf(of ast.Expr) (names []string) {
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

// commandsOf notes the commands and flags that a file of a program declares: values of Use, what helpers that add
// commands are given before the first sentence, rows of a table of commands, and names of flags.
func (c *codeBase) commandsOf(file *ast.File) {
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
			if n.Type == nil && len(n.Elts) == 4 { // a row of the commands that ask a front end
				c.command(n.Elts[0])
			}
		}
		return true
	})
}

func (c *codeBase) command(value ast.Expr) {
	if literal, ok := value.(*ast.BasicLit); ok {
		word, _, _ := strings.Cut(unquoted(literal), " ")
		c.commands[word] = true
	}
}

// calledName is the name of the function or method that a call calls.
func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}

// logCall notes the message of a call of log/slog.
func (c *codeBase) logCall(call *ast.CallExpr) {
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	of, ok := f.X.(*ast.Ident)
	if !ok || of.Name != "slog" || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, f.Sel.Name) {
		return
	}
	if message, ok := call.Args[0].(*ast.BasicLit); ok {
		c.logs[unquoted(message)] = true
	}
}

func unquoted(literal *ast.BasicLit) string {
	text, err := strconv.Unquote(literal.Value)
	if err != nil { // the parser takes none
		panic(err)
	}
	return text
}
