package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"os"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/config"
	"chutechute/statement"
	"chutechute/statement/syntax"
)

func newStatement(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "statement",
		Short: "Inspect statements",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errors.New("statement: missing subcommand: explain") },
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "explain [file ...]",
		Short: "Print what the front end finds in statements, one line of JSON for each",
		Long: `Explain reads statements that are separated by NUL bytes, from files or from standard input, and prints for
each what a front end that has not learned from any query yet would derive from it. Classes come from the rules of
--installation, and from NODE_CONFIG's settings if that is set.`,
		RunE: cli.RunE(func(cmd *cobra.Command, files []string) error {
			reader, classes, err := o.newReader()
			if err != nil {
				return err
			}
			out := bufio.NewWriter(cmd.OutOrStdout())
			x := explainer{reader: reader, classes: classes, out: json.NewEncoder(out)}
			x.out.SetEscapeHTML(false)
			if len(files) == 0 {
				err = x.explainAll(cmd.InOrStdin())
			}
			for _, name := range files {
				if err == nil {
					err = x.explainFile(name)
				}
			}
			return errors.Join(err, out.Flush())
		}),
	})
	return cmd
}

// newReader returns a Reader with the options of the front end, and the classes that it classifies into.
func (o *options) newReader() (*statement.Reader, []statement.Class, error) {
	options := &statement.Options{}
	if o.installation != "" || os.Getenv("NODE_CONFIG") != "" {
		cfg, file, err := o.readFiles()
		if err != nil {
			return nil, nil, err
		}
		var classes []statement.Class
		if cfg != nil {
			classes = config.Classes(cfg.Settings)
		} else {
			classes = file.Statement.RuleClasses()
		}
		options.Classes = classes
		if file != nil {
			if options, err = file.Statement.Options(classes); err != nil {
				return nil, nil, err
			}
		}
	}
	r, err := statement.New(*options)
	return r, options.Classes, err
}

// explanation is what is printed for a statement.
type explanation struct {
	Class      string      `json:"class"`
	Verb       string      `json:"verb"`
	Writes     bool        `json:"writes"`
	Group      int         `json:"group"`
	Tables     []tableRole `json:"tables"`
	Shape      string      `json:"shape"`
	CostMS     float64     `json:"cost_ms"`
	CostHighMS float64     `json:"cost_high_ms"`
	MemoryMB   float64     `json:"memory_mb"`
	Repeatable bool        `json:"repeatable"`
	Error      *parseError `json:"error"`
}

type tableRole struct {
	Name string `json:"name"`
	Role string `json:"role"`
}

type parseError struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

type explainer struct {
	reader  *statement.Reader
	classes []statement.Class
	out     *json.Encoder
}

func (x *explainer) explainFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return x.explainAll(f)
}

// explainAll explains the statements of one stream. Text after the last NUL byte is one more statement, unless it is
// blank.
func (x *explainer) explainAll(in io.Reader) error {
	r := bufio.NewReader(in)
	for {
		text, err := r.ReadBytes(0)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		last := err != nil
		if !last || len(bytes.TrimSpace(text)) > 0 {
			if err := x.out.Encode(x.explain(bytes.TrimSuffix(text, []byte{0}))); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
	}
}

func (x *explainer) explain(text []byte) explanation {
	e := explanation{Tables: []tableRole{}, Group: x.reader.TableGroup(text)}
	reading, err := x.reader.Read(text)
	var syntaxErr *syntax.Error
	if errors.As(err, &syntaxErr) {
		e.Error = &parseError{syntaxErr.Line, syntaxErr.Column, syntaxErr.Message}
		// The installation file may set a class for all statements that can't be parsed (statement.unparsed_class).
		if completion, err := x.reader.Complete(statement.Call{Text: text, Class: -1}); err == nil {
			e.Class = x.classes[completion.Class].Name
			e.CostMS, e.CostHighMS, e.MemoryMB = round(completion.CostMS), round(completion.CostUpperBoundMS),
				round(completion.MemoryMB)
		}
		return e
	}
	facts := reading.Facts()
	e.Verb, e.Writes, e.Shape, e.Repeatable = facts.Verb, facts.Writes, reading.Shape(), facts.Idempotent()
	for _, t := range facts.Tables {
		e.Tables = append(e.Tables, tableRole{t.Name, string(t.Role)})
	}
	class, ok := x.reader.Classify(&reading)
	if ok {
		e.Class = x.classes[class].Name
	} else {
		class = -1
	}
	cost := x.reader.Cost(&reading, class)
	e.CostMS, e.CostHighMS = round(cost.Value), round(cost.UpperBound)
	e.MemoryMB = round(x.reader.Memory(&reading, class).Value)
	return e
}

// round rounds to three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
