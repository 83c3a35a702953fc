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
		Short: "Look into callers and their rights",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errors.New("identity: check, whoami or rights?") },
	}
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Say whether the installation's identity section and its key files can be used",
		Args:  cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			_, cfg, err := o.guard()
			if err != nil {
				return err
			}
			return cli.Show(cmd.OutOrStdout(), asJSON, map[string]any{"ok": true, "issuers": len(cfg.Callers.Issuers),
				"callers": len(cfg.Callers.Callers), "rights": len(cfg.Callers.Rights)}, "ok")
		}),
	}, &cobra.Command{
		Use:   "whoami",
		Short: "Say which caller a token on standard input stands for",
		Args:  cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			guard, _, err := o.guard()
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
			return cli.Show(cmd.OutOrStdout(), asJSON, map[string]any{"caller": caller.Name, "tenant": caller.Tenant},
				fmt.Sprintf("caller %s, tenant %s", caller.Name, caller.Tenant))
		}),
	}, &cobra.Command{
		Use:   "rights CALLER [GROUP ...]",
		Short: "Say what a caller may send, for tables of these groups",
		Args:  cobra.MinimumNArgs(1),
		RunE: cli.Does(func(cmd *cobra.Command, args []string) error {
			guard, cfg, err := o.guard()
			if err != nil {
				return err
			}
			return rights(cmd.OutOrStdout(), asJSON, guard, cfg, args[0], args[1:])
		}),
	})
	return cmd
}

// guard is one set as the front end's would be, with the keys as they are in their files.
func (o *options) guard() (*identity.Guard, *config.Config, error) {
	cfg, _, err := o.read()
	switch {
	case err != nil:
		return nil, nil, err
	case cfg == nil:
		return nil, nil, errors.New("NODE_CONFIG is not set: classes and tenants are those of its settings")
	case cfg.Callers == nil:
		return nil, nil, errors.New("identity is off: --installation names no file with identity.enabled")
	}
	guard, err := identity.New(*cfg.Callers, cfg.Settings.ClassNames(), token.Verifier{})
	if err != nil {
		return nil, nil, err
	}
	for _, one := range cfg.Identity().Issuers {
		keys, err := keyfiles.Keys(one.Keys)
		if err != nil {
			return nil, nil, fmt.Errorf("issuer %q: %w", one.Name, err)
		}
		guard.SetKeys(one.Name, keys)
	}
	if path := cfg.Identity().Revoked; path != "" {
		list, err := keyfiles.Revoked(path)
		if err != nil {
			return nil, nil, err
		}
		guard.SetRevocations(list)
	}
	return guard, cfg, nil
}

// rights prints, for each class and group, whether a caller may.
func rights(out io.Writer, asJSON bool, guard *identity.Guard, cfg *config.Config, name string, groups []string) error {
	caller := identity.Caller{Name: name}
	known := false
	for _, rule := range cfg.Callers.Callers {
		if rule.Name == name {
			caller.Tenant, known = rule.Tenant, true
		}
	}
	if !known {
		return fmt.Errorf("no caller %q", name)
	}
	if len(groups) == 0 {
		groups = []string{"0"}
	}
	type answer struct {
		Class   string `json:"class"`
		Group   int    `json:"group"`
		Allowed bool   `json:"allowed"`
	}
	var list []answer
	text := "tenant " + caller.Tenant
	for _, class := range cfg.Settings.ClassNames() {
		for _, g := range groups {
			n := 0
			if _, err := fmt.Sscan(g, &n); err != nil {
				return fmt.Errorf("group %q is no number", g)
			}
			_, err := guard.Authorize(caller, "", class, n)
			list = append(list, answer{class, n, err == nil})
			text += fmt.Sprintf("\n%-20s group %-6d %s", class, n, map[bool]string{true: "allowed", false: "denied"}[err == nil])
		}
	}
	return cli.Show(out, asJSON, map[string]any{"caller": name, "tenant": caller.Tenant, "rights": list}, text)
}
