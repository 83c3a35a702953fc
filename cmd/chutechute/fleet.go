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

// adminTimeout is the timeout for connecting to the admin socket, and the timeout for the request with its response.
const adminTimeout = 5 * time.Second

// adminCommand is a command whose subcommands send requests to the front end that runs on this machine.
type adminCommand struct {
	*cobra.Command
	o            *options
	json         bool
	socket, name string
}

// newAdminCommand returns a command that has no subcommands yet. noSubcommand is the text of its error if it
// is run without a subcommand.
func newAdminCommand(o *options, use, short, long, noSubcommand string) *adminCommand {
	a := &adminCommand{o: o, Command: &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New(noSubcommand) }}}
	a.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON")
	a.PersistentFlags().StringVar(&a.socket, "socket", "",
		"the admin socket's `path`, in place of the installation file's")
	a.PersistentFlags().StringVar(&a.name, "name", "",
		"the front end's name, which replaces {name} in the installation file's path; NODE_NAME if not given")
	return a
}

// add adds a subcommand that sends a request to the front end and prints the response. makeRequest returns the request
// for the subcommand's arguments; printResponse prints the response as text.
func (a *adminCommand) add(
	use, short string, args cobra.PositionalArgs, makeRequest func(args []string) string,
	printResponse func(*cobra.Command, []byte) error,
) {
	a.AddCommand(&cobra.Command{Use: use, Short: short, Args: args,
		RunE: cli.RunE(func(cmd *cobra.Command, args []string) error {
			path, err := a.o.adminPath(a.socket, a.name)
			if err != nil {
				return err
			}
			var text json.RawMessage
			if err := sendAdminRequest(path, makeRequest(args), &text); err != nil {
				return err
			}
			if a.json {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), string(text))
				return err
			}
			return printResponse(cmd, text)
		})})
}

func newFleet(o *options) *cobra.Command {
	a := newAdminCommand(o, "fleet", "Show the state of the fleet as a front end sees it",
		`Fleet asks the front end that runs on this machine, over the admin socket that the installation file names
(fleet.admin), or over the one given by --socket.`, "fleet: missing subcommand: status, members or ledger")
	for _, c := range []struct {
		use, short, request string
		printResponse       func(cmd *cobra.Command, text []byte) error
	}{
		{"status", "Show the state of the front end and of the replicated log", "status", printStatus},
		{"members", "List the front ends of the fleet, as this one sees them", "status", printMembers},
		{"ledger", "List the loads that are registered in the replicated log", "ledger", printLedger},
	} {
		a.add(c.use, c.short, cobra.NoArgs, func([]string) string { return c.request }, c.printResponse)
	}
	return a.Command
}

// adminPath returns the path of the front end's admin socket: socket, unless it is empty, or the one that the
// installation file gives a front end of this name.
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

// sendAdminRequest sends a request, which is a line of text, to an admin socket, and decodes the response, which is
// JSON.
func sendAdminRequest(path, request string, response any) error {
	conn, err := net.DialTimeout("unix", path, adminTimeout)
	if err != nil {
		return fmt.Errorf("connecting to the front end's admin socket: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(conn, request); err != nil {
		return err
	}
	if err := json.NewDecoder(bufio.NewReader(conn)).Decode(response); err != nil {
		return fmt.Errorf("reading the front end's response: %w", err)
	}
	return nil
}

// table prints lines of cells in aligned columns.
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
			role := "votes"
			if !c.Voter {
				role = "catches up"
			}
			line("copy", fmt.Sprintf("%s on %s, zone %q, %s", c.ReplicaID, c.Name, c.Zone, role))
		}
		if s.Warning != "" {
			line("note", s.Warning)
		}
	})
}

// printView prints the state of this front end's view of all front ends.
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
		line("attached here", fmt.Sprintf("%d; %d questions passed on, %d messages that found no way",
			a.Links, a.Forwarded, a.Undeliverable))
	}
}

func nameOr(name, fallback string) string {
	if name == "" {
		return fallback
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

// printAllMembers prints the control members and the attached front ends.
func printAllMembers(cmd *cobra.Command, s *peering.Status) error {
	err := table(cmd, func(line func(...any)) {
		line("NAME", "ROLE", "ZONE", "STATE", "HOME", "LINK", "PROCESS")
		for _, m := range s.Members {
			link := "-"
			if m.Linked {
				link = "up"
			} else if m.Role == "control" && s.Role != "attached" {
				link = "down" // each control member has links to all others
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
		return errors.New("this front end is attached and has no replica: ask a control member")
	}
	if s.Status.Group == "0000000000000000" {
		return errors.New("this front end has no replica: ask one that 'fleet status' lists")
	}
	return table(cmd, func(line func(...any)) {
		line("DEDUPE", "KEY", "CLASS", "PHASE", "EPOCH", "PLACE", "OWNER", "STARTS")
		for _, l := range s.Replicated {
			line(l.IdempotencyKey, l.OrderKey, l.Class, l.Phase, l.Epoch, l.Index, l.Owner, strings.Join(l.Attempts, "; "))
		}
	})
}
