package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/cli"
	"chutechute/internal/keyfiles"
	"chutechute/internal/monotime"
)

// keyFlags are the flags that all subcommands of keys share.
type keyFlags struct {
	private, public string
	asJSON          bool
}

func newKeys() *cobra.Command {
	var f keyFlags
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Manage the keys that sign tokens",
		Long: `Keys manages a set of private keys (a JWKS file, mode 0600) and writes the set of their public keys, which
front ends read. Each file is replaced atomically, the public one first. Concurrent changes of a set are serialized.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("keys: missing subcommand: new, rotate, list, retire or sign")
		},
	}
	cmd.PersistentFlags().StringVar(&f.private, "private", "keys.private.jwks", "the `file` of private keys")
	cmd.PersistentFlags().StringVar(&f.public, "public", "keys.jwks", "the `file` of public keys")
	cmd.PersistentFlags().BoolVar(&f.asJSON, "json", false, "print JSON")
	cmd.AddCommand(newKeysNew(&f), newKeysRotate(&f), newKeysList(&f), newKeysRetire(&f), newKeysSign(&f))
	return cmd
}

// addKey generates a key and adds it to a set. If id is empty, the current time becomes the key's id.
func addKey(s *token.KeySet, id, algorithm string, from monotime.Micros) error {
	if id == "" {
		id = time.Now().UTC().Format("20060102T150405.000000")
	}
	k, err := token.Generate(id, algorithm)
	if err != nil {
		return err
	}
	return s.Add(k, from)
}

func newKeysNew(f *keyFlags) *cobra.Command {
	var id, algorithm string
	cmd := &cobra.Command{
		Use:   "new",
		Short: "Add a key that is valid from now on",
		Args:  cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			return f.change(cmd.OutOrStdout(), func(s *token.KeySet) error {
				return addKey(s, id, algorithm, wallClock())
			})
		}),
	}
	cmd.Flags().StringVar(&id, "id", "", "the key's id; the current time if not given")
	cmd.Flags().StringVar(&algorithm, "alg", "EdDSA", "EdDSA, ES256 or RS256")
	return cmd
}

func newKeysRotate(f *keyFlags) *cobra.Command {
	var algorithm string
	var overlap, ahead time.Duration
	cmd := &cobra.Command{
		Use:   "rotate",
		Short: "Add a key, and have the earlier ones expire after an overlap",
		Long: `Rotate adds a key that is used for signing only after --ahead, so that front ends have read it by then. Earlier
keys expire after --overlap; those that have expired already are removed.`,
		Args: cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			if overlap < 0 || ahead < 0 || overlap <= ahead {
				return errors.New("--ahead must not be negative, and --overlap must be longer")
			}
			return f.change(cmd.OutOrStdout(), func(s *token.KeySet) error {
				now := wallClock()
				s.Prune(now)
				earlier := s.List()
				if err := addKey(s, "", algorithm, now+ahead.Microseconds()); err != nil {
					return err
				}
				for _, k := range earlier {
					if err := s.Retire(k.ID, now+overlap.Microseconds()); err != nil {
						return err
					}
				}
				return nil
			})
		}),
	}
	cmd.Flags().StringVar(&algorithm, "alg", "EdDSA", "EdDSA, ES256 or RS256")
	cmd.Flags().DurationVar(&overlap, "overlap", time.Hour, "how long the earlier keys stay valid")
	cmd.Flags().DurationVar(&ahead, "ahead", 10*time.Second, "how long until the new key is used for signing")
	return cmd
}

func newKeysList(f *keyFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the keys, without their secret parts",
		Args:  cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			s, err := keyfiles.ReadPrivate(f.private)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), s)
		}),
	}
}

func newKeysRetire(f *keyFlags) *cobra.Command {
	var delay time.Duration
	cmd := &cobra.Command{
		Use:   "retire ID",
		Short: "Set when a key expires",
		Args:  cobra.ExactArgs(1),
		RunE: cli.RunE(func(cmd *cobra.Command, args []string) error {
			return f.change(cmd.OutOrStdout(), func(s *token.KeySet) error {
				return s.Retire(args[0], wallClock()+delay.Microseconds())
			})
		}),
	}
	cmd.Flags().DurationVar(&delay, "in", 0, "how long until the key expires")
	return cmd
}

func newKeysSign(f *keyFlags) *cobra.Command {
	var claims identity.Claims
	var audience string
	var validity time.Duration
	cmd := &cobra.Command{
		Use:   "sign",
		Short: "Sign a token with the newest valid key",
		Args:  cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			if claims.Issuer == "" || claims.Subject == "" || audience == "" || validity <= 0 {
				return errors.New("--issuer, --subject, --audience and a positive --for are required")
			}
			s, err := keyfiles.ReadPrivate(f.private)
			if err != nil {
				return err
			}
			key, err := s.Signer(wallClock())
			if err != nil {
				return fmt.Errorf("%s: %w", f.private, err)
			}
			claims.Audiences, claims.Expires = []string{audience}, wallClock()+validity.Microseconds()
			text, err := token.Sign(key, claims)
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), text)
			}
			return err
		}),
	}
	cmd.Flags().StringVar(&claims.Issuer, "issuer", "", "the token's issuer (iss)")
	cmd.Flags().StringVar(&claims.Subject, "subject", "", "the token's subject (sub)")
	cmd.Flags().StringVar(&audience, "audience", "", "the token's audience (aud)")
	cmd.Flags().StringVar(&claims.ID, "id", "", "the token's id (jti), by which it can be revoked")
	cmd.Flags().DurationVar(&validity, "for", time.Hour, "how long the token is valid")
	return cmd
}

// change applies a change to the set in the files, and prints the changed set.
func (f *keyFlags) change(out io.Writer, apply func(*token.KeySet) error) error {
	return keyfiles.ChangeKeySet(f.private, f.public, func(s *token.KeySet) error {
		if err := apply(s); err != nil {
			return err
		}
		return f.print(out, s)
	})
}

func (f *keyFlags) print(out io.Writer, s *token.KeySet) error {
	list := s.List()
	if f.asJSON {
		return json.NewEncoder(out).Encode(list)
	}
	for _, k := range list {
		until := "for good"
		if k.Until > 0 {
			until = "until " + time.Unix(k.Until, 0).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(out, "%-24s %-6s from %s %s\n",
			k.ID, k.Algorithm, time.Unix(k.From, 0).UTC().Format(time.RFC3339), until)
	}
	return nil
}
