package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/cli"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
)

func newIdentity(o *options) *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:   "identity",
		Short: "Check callers and their rights",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("identity: missing subcommand: check, whoami or rights")
		},
	}
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check that the installation file's identity section and its key files are valid",
		Args:  cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			_, cfg, err := o.newGuard()
			if err != nil {
				return err
			}
			return cli.PrintResult(cmd.OutOrStdout(), asJSON, map[string]any{"ok": true, "issuers": len(cfg.Callers.Issuers),
				"callers": len(cfg.Callers.Callers), "rights": len(cfg.Callers.Rights)}, "ok")
		}),
	}, &cobra.Command{
		Use:   "whoami",
		Short: "Print the caller that a token on standard input belongs to",
		Args:  cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			guard, _, err := o.newGuard()
			if err != nil {
				return err
			}
			text, err := io.ReadAll(io.LimitReader(cmd.InOrStdin(), 64<<10))
			if err != nil {
				return err
			}
			caller, err := guard.Authenticate(strings.TrimSpace(string(text)), nil, 0, 0, time.Now().UnixMicro())
			if err != nil {
				return err
			}
			return cli.PrintResult(cmd.OutOrStdout(), asJSON, map[string]any{"caller": caller.Name, "tenant": caller.Tenant},
				fmt.Sprintf("caller %s, tenant %s", caller.Name, caller.Tenant))
		}),
	}, &cobra.Command{
		Use:   "rights CALLER [GROUP ...]",
		Short: "Print what a caller may send, for tables of these groups",
		Args:  cobra.MinimumNArgs(1),
		RunE: cli.RunE(func(cmd *cobra.Command, args []string) error {
			guard, cfg, err := o.newGuard()
			if err != nil {
				return err
			}
			return printRights(cmd.OutOrStdout(), asJSON, guard, cfg, args[0], args[1:])
		}),
	})
	return cmd
}

// newGuard returns a Guard with the options of the front end, and with the current contents of the files of keys and of
// revoked tokens.
func (o *options) newGuard() (*identity.Guard, *config.Config, error) {
	cfg, _, err := o.readFiles()
	switch {
	case err != nil:
		return nil, nil, err
	case cfg == nil:
		return nil, nil, errors.New("NODE_CONFIG is not set: its settings define the classes and tenants")
	case cfg.Callers == nil:
		return nil, nil, errors.New("identity is off: no installation file with identity.enabled is given by --installation")
	}
	guard, err := identity.New(*cfg.Callers, cfg.Settings.ClassNames(), token.Verifier{})
	if err != nil {
		return nil, nil, err
	}
	for _, issuer := range cfg.Identity().Issuers {
		keys, err := keyfiles.ReadPublicKeys(issuer.Keys)
		if err != nil {
			return nil, nil, fmt.Errorf("issuer %q: %w", issuer.Name, err)
		}
		guard.SetKeys(issuer.Name, keys)
	}
	if path := cfg.Identity().Revoked; path != "" {
		revocations, err := keyfiles.ReadRevocations(path)
		if err != nil {
			return nil, nil, err
		}
		guard.SetRevocations(revocations)
	}
	return guard, cfg, nil
}

// printRights prints, for each class and group, whether a caller may send queries.
func printRights(
	out io.Writer, asJSON bool, guard *identity.Guard, cfg *config.Config, name string, groups []string,
) error {
	caller := identity.Caller{Name: name}
	known := false
	for _, rule := range cfg.Callers.Callers {
		if rule.Name == name {
			caller.Tenant, known = rule.Tenant, true
		}
	}
	if !known {
		return fmt.Errorf("identity.callers has no caller %q", name)
	}
	if len(groups) == 0 {
		groups = []string{"0"}
	}
	type right struct {
		Class   string `json:"class"`
		Group   int    `json:"group"`
		Allowed bool   `json:"allowed"`
	}
	var list []right
	text := "tenant " + caller.Tenant
	for _, class := range cfg.Settings.ClassNames() {
		for _, g := range groups {
			n := 0
			if _, err := fmt.Sscan(g, &n); err != nil {
				return fmt.Errorf("group %q is not a number", g)
			}
			_, err := guard.Authorize(caller, "", class, n)
			list = append(list, right{class, n, err == nil})
			text += fmt.Sprintf("\n%-20s group %-6d %s",
				class, n, map[bool]string{true: "allowed", false: "denied"}[err == nil])
		}
	}
	return cli.PrintResult(out, asJSON, map[string]any{"caller": name, "tenant": caller.Tenant, "rights": list}, text)
}
