package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/config"
)

func newConfig(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check or show the configuration",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errors.New("config: check or show?") },
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Say whether the files can be used",
		Long: `Check reads the configuration that NODE_CONFIG names and the installation file, as the start of the front end
does, and names the faulty key where one can't be used. Where only one of the two is given, that one is checked.`,
		Args: cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			if _, _, err := o.read(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		}),
	}, &cobra.Command{
		Use:   "show",
		Short: "Print the installation as it is evaluated, with defaults, and the node's limits",
		Args:  cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			cfg, file, err := o.read()
			if err != nil {
				return err
			}
			shown := struct {
				Node         *node                `json:"node,omitempty"`
				Installation *config.Installation `json:"installation,omitempty"`
			}{Installation: file}
			if cfg != nil {
				shown.Node = &node{cfg.Name, cfg.Listen.String(), cfg.Discovery.String(), cfg.MemoryMB, cfg.Sockets}
				if cfg.Statements != nil {
					shown.Installation.Statement.CacheMB = float64(cfg.Statements.CacheBytes) / (1 << 20)
				}
			}
			out := json.NewEncoder(cmd.OutOrStdout())
			out.SetIndent("", "  ")
			return out.Encode(shown)
		}),
	})
	return cmd
}

// node is what show tells of the node's own configuration.
type node struct {
	Name     string `json:"name"`
	Listen   string `json:"listen"`
	Journal  string `json:"journal"`
	MemoryMB int    `json:"memory_mb"`
	Sockets  int    `json:"sockets"`
}

// read reads the files that are given: each is nil where it is not. Together they are checked against one
// another.
func (o *options) read() (cfg *config.Config, file *config.Installation, err error) {
	named := os.Getenv("NODE_CONFIG") != ""
	if !named && o.installation == "" {
		return nil, nil, errors.New("neither NODE_CONFIG nor --installation is given")
	}
	if named {
		if cfg, err = config.Load(os.Getenv, o.installation); err != nil {
			return nil, nil, err
		}
	}
	if o.installation == "" {
		return cfg, nil, nil
	}
	if file, err = config.ReadInstallation(o.installation); err != nil {
		return nil, nil, err
	}
	if !named {
		_, err = file.Statement.Options(file.Statement.RuleClasses())
	}
	return cfg, file, err
}
