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
		RunE:  func(*cobra.Command, []string) error { return errors.New("config: missing subcommand: check or show") },
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check that the configuration files are valid",
		Long: `Check reads the configuration file that NODE_CONFIG names and the installation file, as the front end does at
startup, and names the key of an invalid value. If only one of the two files is given, only that one is checked.`,
		Args: cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			if _, _, err := o.readFiles(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		}),
	}, &cobra.Command{
		Use:   "show",
		Short: "Print the evaluated installation file with its defaults, and the node's limits",
		Args:  cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			cfg, file, err := o.readFiles()
			if err != nil {
				return err
			}
			shown := struct {
				Node         *nodeConfig          `json:"node,omitempty"`
				Installation *config.Installation `json:"installation,omitempty"`
			}{Installation: file}
			if cfg != nil {
				shown.Node = &nodeConfig{cfg.Name, cfg.Listen.String(), cfg.Discovery.String(), cfg.MemoryMB, cfg.Sockets}
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

// nodeConfig is the part of the front end's own configuration that 'config show' prints.
type nodeConfig struct {
	Name     string `json:"name"`
	Listen   string `json:"listen"`
	Journal  string `json:"journal"`
	MemoryMB int    `json:"memory_mb"`
	Sockets  int    `json:"sockets"`
}

// readFiles reads the configuration that NODE_CONFIG names and the installation file. The one that is not given is nil;
// if both are given, they are also checked against each other.
func (o *options) readFiles() (cfg *config.Config, file *config.Installation, err error) {
	hasConfig := os.Getenv("NODE_CONFIG") != ""
	if !hasConfig && o.installation == "" {
		return nil, nil, errors.New("neither NODE_CONFIG nor --installation is given")
	}
	if hasConfig {
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
	if !hasConfig {
		_, err = file.Statement.Options(file.Statement.RuleClasses())
	}
	return cfg, file, err
}
