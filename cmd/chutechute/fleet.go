package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/config"
	"chutechute/internal/peering"
)

// adminWait bounds an operator's question.
const adminWait = 5 * time.Second

// asking is a command whose sub-commands put questions to the front end that runs on this machine.
type asking struct {
	*cobra.Command
	o            *options
	json         bool
	socket, name string
}

func newAsking(o *options, use, short, long, none string) *asking {
	a := &asking{o: o, Command: &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New(none) }}}
	a.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
	a.PersistentFlags().StringVar(&a.socket, "socket", "", "the operators' `path`, in place of the installation's")
	a.PersistentFlags().StringVar(&a.name, "name", "", "the front end's name, where the path holds {name}; NODE_NAME otherwise")
	return a
}

// add adds a sub-command that asks and prints; question has its arguments.
func (a *asking) add(use, short string, args cobra.PositionalArgs, question func(args []string) string, print func(*cobra.Command, []byte) error) {
	a.AddCommand(&cobra.Command{Use: use, Short: short, Args: args, RunE: cli.Does(func(cmd *cobra.Command, args []string) error {
		path, err := a.o.adminPath(a.socket, a.name)
		if err != nil {
			return err
		}
		var text json.RawMessage
		if err := askAdmin(path, question(args), &text); err != nil {
			return err
		}
		if a.json {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), string(text))
			return err
		}
		return print(cmd, text)
	})})
}

func newFleet(o *options) *cobra.Command {
	a := newAsking(o, "fleet", "Ask a front end about its fleet", `Fleet asks the front end that runs on this machine, over the operators' socket that the installation file names
(fleet.admin), or over the one given.`, "fleet: status, members or ledger?")
	for _, c := range []struct {
		use, short, question string
		print                func(cmd *cobra.Command, text []byte) error
	}{
		{"status", "How this front end and the record stand", "status", printStatus},
		{"members", "Which front ends are there, as this one sees them", "status", printMembers},
		{"ledger", "The loads on record", "ledger", printLedger},
	} {
		a.add(c.use, c.short, cobra.NoArgs, func([]string) string { return c.question }, c.print)
	}
	return a.Command
}

// adminPath is the operators' socket of the front end.
func (o *options) adminPath(socket, name string) (string, error) {
	if socket != "" {
		return socket, nil
	}
	if o.installation == "" {
		return "", errors.New("neither --socket nor --installation is given")
	}
	file, err := config.ReadInstallation(o.installation)
	if err != nil {
		return "", err
	}
	if file.Fleet.AdminSocket == "" {
		return "", errors.New("installation: fleet.admin: missing")
	}
	if name == "" {
		name = os.Getenv("NODE_NAME")
	}
	return strings.ReplaceAll(file.Fleet.AdminSocket, "{name}", name), nil
}

func askAdmin(path, question string, into any) error {
	conn, err := net.DialTimeout("unix", path, adminWait)
	if err != nil {
		return fmt.Errorf("no front end answers: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(adminWait)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(conn, question); err != nil {
		return err
	}
	if err := json.NewDecoder(bufio.NewReader(conn)).Decode(into); err != nil {
		return fmt.Errorf("the front end's answer: %w", err)
	}
	return nil
}

// table prints rows in columns.
func table(cmd *cobra.Command, rows func(line func(cells ...any))) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, c)
		}
		fmt.Fprintln(w)
	})
	return w.Flush()
}

func printStatus(cmd *cobra.Command, text []byte) error {
	var s peering.Status
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	return table(cmd, func(line func(...any)) {
		line("front end", s.Name+" of "+s.Site)
		line("process", s.Incarnation)
		line("role", s.Role)
		if s.Attached != nil {
			printView(line, s.Attached)
		}
		if s.Role == "attached" {
			line("loads", fmt.Sprintf("%d held here", s.InProgress))
			return
		}
		if s.Error != "" {
			line("error", s.Error)
		}
		line("leader", s.Leader)
		line("term", s.Term)
		line("record", s.Group)
		line("applied", fmt.Sprintf("%d (sum %s)", s.Applied, s.Digest))
		line("loads", fmt.Sprintf("%d on record, %d bytes; %d held here", s.Records, s.RecordBytes, s.InProgress))
		line("elections", s.Elections)
		if s.Divergent > 0 {
			line("COPIES DIFFER", fmt.Sprintf("seen %d times: keep all folders and report it", s.Divergent))
		}
		for _, c := range s.Replicas {
			how := "votes"
			if !c.Voter {
				how = "catches up"
			}
			line("copy", fmt.Sprintf("%s on %s, zone %q, %s", c.ReplicaID, c.Name, c.Zone, how))
		}
		if s.Warning != "" {
			line("note", s.Warning)
		}
	})
}

// printView tells how the view of all front ends stands.
func printView(line func(...any), a *peering.ViewStatus) {
	line("home", nameOr(a.Home, "none"))
	age := fmt.Sprintf("%d ms old", a.ViewAgeMS)
	if a.ViewAgeMS < 0 {
		age = "never confirmed"
	}
	line("view", fmt.Sprintf("%d front ends, %s (digest %s)", a.ViewLen, age, a.ViewDigest))
	if len(a.Targets) > 0 {
		line("attached to", strings.Join(a.Targets, ", "))
	} else {
		line("attached here", fmt.Sprintf("%d; %d questions passed on, %d messages that found no way", a.Links, a.Forwarded, a.Undeliverable))
	}
}

func nameOr(name, otherwise string) string {
	if name == "" {
		return otherwise
	}
	return name
}

func printMembers(cmd *cobra.Command, text []byte) error {
	var s peering.Status
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Attached != nil {
		return printAllMembers(cmd, &s)
	}
	return table(cmd, func(line func(...any)) {
		line("NAME", "ZONE", "STATE", "LINK", "PROCESS")
		for _, m := range s.Members {
			link := "down"
			if m.Linked {
				link = "up"
			}
			line(m.Name, m.Zone, m.State, link, m.Incarnation)
		}
	})
}

// printAllMembers prints the front ends of both roles.
func printAllMembers(cmd *cobra.Command, s *peering.Status) error {
	err := table(cmd, func(line func(...any)) {
		line("NAME", "ROLE", "ZONE", "STATE", "HOME", "LINK", "PROCESS")
		for _, m := range s.Members {
			link := "-"
			if m.Linked {
				link = "up"
			} else if m.Role == "control" && s.Role != "attached" {
				link = "down" // control members keep one with each other
			}
			line(m.Name, m.Role, nameOr(m.Zone, "-"), m.State, nameOr(m.Home, "-"), link, m.Incarnation)
		}
	})
	if err != nil {
		return err
	}
	return table(cmd, func(line func(...any)) {
		line("")
		printView(line, s.Attached)
	})
}

func printLedger(cmd *cobra.Command, text []byte) error {
	var s peering.ReplicatedRecords
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Status.Role == "attached" {
		return errors.New("this front end is attached and keeps no copy of the record: ask a control member")
	}
	if s.Status.Group == "0000000000000000" {
		return errors.New("this front end is no copy of the record: ask one that 'fleet status' names")
	}
	return table(cmd, func(line func(...any)) {
		line("DEDUPE", "KEY", "CLASS", "PHASE", "EPOCH", "PLACE", "OWNER", "STARTS")
		for _, l := range s.Replicated {
			line(l.IdempotencyKey, l.OrderKey, l.Class, l.Phase, l.Epoch, l.Index, l.Owner, strings.Join(l.Attempts, "; "))
		}
	})
}
