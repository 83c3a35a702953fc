package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/peering"
)

func newBudget(o *options) *cobra.Command {
	a := newAdminCommand(o, "budget", "Show the state of the fleet's budgets, or check their settings",
		`Budget asks the front end that runs on this machine for the state of the fleet's budgets, over its admin socket.
A front end with a replica shows the allocations of all front ends; one without shows its own.`,
		"budget: missing subcommand: show, explain or check")
	request := func(args []string) string { return strings.TrimSpace("budgets " + strings.Join(args, "")) }
	a.add("show [NAME]", "Show totals, leases, use and reserves by front end", cobra.MaximumNArgs(1),
		request, printBudgets)
	a.add("explain CALL|NAME", "Explain why a call was rejected, or why a budget has no capacity left",
		cobra.ExactArgs(1), request, explainBudget)
	a.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Show how the budgets of the installation file are divided",
		Long: `Check reads the configuration file that NODE_CONFIG names and the installation file, and prints for each budget
the static part of a front end, which needs no lease, the part that is leased, and how long the allocation of a
lost front end stays unavailable.`,
		Args: cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			cfg, _, err := o.readFiles()
			if err != nil {
				return err
			}
			if cfg == nil {
				return errors.New("NODE_CONFIG is not set: budgets are checked against its settings")
			}
			if cfg.Peers == nil || cfg.Peers.Budgets == nil {
				return errors.New("installation: fleet.budgets: missing, or fleet is off")
			}
			plans := cfg.Peers.Budgets.Plan()
			if a.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(plans)
			}
			return table(cmd, func(line func(...any)) {
				line("BUDGET", "KIND", "WHOLE", "DIVIDED", "EACH WITHOUT A LEASE", "KEPT FOR NEWCOMERS",
					"A LOST ONE'S IS FREE AFTER")
				for _, p := range plans {
					line(p.Name, p.Kind, p.Total, p.Divided, p.Static, p.NewcomerReserve, p.MaxRecoveryTime)
				}
			})
		}),
	})
	return a.Command
}

// readBudgets decodes a front end's response to a budgets request.
func readBudgets(text []byte) (b peering.BudgetPage, err error) {
	if err = json.Unmarshal(text, &b); err == nil && !b.Enabled {
		err = errors.New("this front end has no budgets: its installation file has no fleet.budgets")
	}
	return b, err
}

func printBudgets(cmd *cobra.Command, text []byte) error {
	b, err := readBudgets(text)
	if err != nil {
		return err
	}
	return table(cmd, func(line func(...any)) {
		line("front end", b.Name)
		line("version", fmt.Sprintf("%d in force, %d in this front end's file", b.Version, b.LeaseHolder.ConfiguredVersion))
		line("lease", fmt.Sprintf("%d ms left; %d reports, %d changes, %d lapsed", b.LeaseHolder.LeaseRemainingUS/1000,
			b.LeaseHolder.Reports, b.LeaseHolder.ChangedGrants, b.LeaseHolder.ExpiredLeases))
		if b.LeaseHolder.SettingsConflict {
			line("SETTINGS DIFFER", "this file has the version in force and says something else: the record's hold")
		}
		for name, reason := range b.Inapplicable {
			line("NOT APPLIED", name+": "+reason)
		}
		line("")
		line("HERE", "SUBJECT", "WANTS", "IN USE", "LEASED", "STATIC", "SPENT", "TURNED AWAY")
		for _, s := range b.Local {
			line(s.Budget, s.Subject, s.Demand, s.InUse, s.Lease, s.Static, s.Spent, s.Rejected)
		}
		if !b.HasReplica {
			return
		}
		line("")
		line("ON RECORD", "SUBJECT", "HOLDER", "WANTS", "GRANTED", "COUNTED", "IN USE", "OF WHOLE", "FREE", "STATE")
		for _, p := range b.Budgets {
			state := "in force"
			switch {
			case !p.Open:
				state = "held back until what an earlier record granted is over"
			case !p.InForce:
				state = "lowered: more is still held than the whole"
			case p.InForceMS > 0:
				state = fmt.Sprintf("in force for %d s", p.InForceMS/1000)
			}
			line(p.Name, "", "", "", "", "", "", p.Total, "", state)
			for _, s := range p.Subjects {
				for _, h := range s.Holders {
					leaseState := ""
					if h.Expired {
						leaseState = "lease over, may run"
					}
					line("", s.Subject, h.Name, h.Demand, h.Granted, h.Outstanding, h.InUse, "", s.Free, leaseState)
				}
			}
		}
	})
}

// explainBudget prints the recent rejections by a budget, and its state on this front end and in the replica.
func explainBudget(cmd *cobra.Command, text []byte) error {
	b, err := readBudgets(text)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if len(b.Rejections) == 0 && len(b.Local) == 0 {
		_, err := fmt.Fprintln(out,
			"No budget of that name, and no call of that id was turned away here of late (the last 256 are kept).")
		return err
	}
	for i, d := range b.Rejections {
		if i == 10 {
			fmt.Fprintf(out, "and %d more\n", len(b.Rejections)-i)
			break
		}
		fmt.Fprintf(out, "%s was turned away %d ms ago for want of room in %q, and told to come back after %d ms\n",
			d.RequestID, d.AgeMS, d.Budget, d.RetryAfterMS)
	}
	for _, s := range b.Local {
		name := s.Budget
		if s.Subject != "" {
			name += " of " + s.Subject
		}
		fmt.Fprintf(out, "%s: clients ask here for %.4g beyond the static part; "+
			"this front end has %.4g by a lease with %d ms left and %.4g without; %d were turned away\n",
			name, s.Demand, s.Lease, s.LeaseRemainingMS, s.Static, s.Rejected)
	}
	for _, p := range b.Budgets {
		for _, s := range p.Subjects {
			outstanding := 0.0
			for _, h := range s.Holders {
				outstanding += h.Outstanding
			}
			fmt.Fprintf(out, "%s %s on record: whole %.4g, held by %d front ends %.4g, static parts %.4g, free %.4g\n",
				p.Name, s.Subject, p.Total, len(s.Holders), outstanding, p.StaticReserve, s.Free)
		}
	}
	return nil
}
