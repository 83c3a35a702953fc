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

// keyFlags are those of the commands that keep a key set.
type keyFlags struct {
	private, public string
	asJSON          bool
}

func newKeys() *cobra.Command {
	var f keyFlags
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Keep the keys that sign tokens",
		Long: `Keys keeps a set of private keys (a JWKS file, mode 0600) and writes its public half, which front ends read. Files
are replaced at once, the public one first, and two who change a set at the same time take turns.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return errors.New("keys: new, rotate, list, retire or sign?") },
	}
	cmd.PersistentFlags().StringVar(&f.private, "private", "keys.private.jwks", "the private set's `file`")
	cmd.PersistentFlags().StringVar(&f.public, "public", "keys.jwks", "the public set's `file`")
	cmd.PersistentFlags().BoolVar(&f.asJSON, "json", false, "print JSON")
	cmd.AddCommand(newKeysNew(&f), newKeysRotate(&f), newKeysList(&f), newKeysRetire(&f), newKeysSign(&f))
	return cmd
}

// add makes a key and adds it to a set. Without an id it takes the time.
func add(s *token.KeySet, id, algorithm string, from monotime.Micros) error {
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
		Short: "Add a key that holds from now on",
		Args:  cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			return f.change(cmd.OutOrStdout(), func(s *token.KeySet) error { return add(s, id, algorithm, wall()) })
		}),
	}
	cmd.Flags().StringVar(&id, "id", "", "the key's id; the time where it is left out")
	cmd.Flags().StringVar(&algorithm, "alg", "EdDSA", "EdDSA, ES256 or RS256")
	return cmd
}

func newKeysRotate(f *keyFlags) *cobra.Command {
	var algorithm string
	var overlap, ahead time.Duration
	cmd := &cobra.Command{
		Use:   "rotate",
		Short: "Add a key, and let those before it end after an overlap",
		Long: `Rotate adds a key that signs once front ends have had --ahead to read it, lets the keys before it hold for --overlap
more, and drops those whose end has passed.`,
		Args: cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			if overlap < 0 || ahead < 0 || overlap <= ahead {
				return errors.New("--overlap has to be longer than --ahead")
			}
			return f.change(cmd.OutOrStdout(), func(s *token.KeySet) error {
				now := wall()
				s.Prune(now)
				before := s.List()
				if err := add(s, "", algorithm, now+ahead.Microseconds()); err != nil {
					return err
				}
				for _, k := range before {
					if err := s.Retire(k.ID, now+overlap.Microseconds()); err != nil {
						return err
					}
				}
				return nil
			})
		}),
	}
	cmd.Flags().StringVar(&algorithm, "alg", "EdDSA", "EdDSA, ES256 or RS256")
	cmd.Flags().DurationVar(&overlap, "overlap", time.Hour, "for which the keys before hold on")
	cmd.Flags().DurationVar(&ahead, "ahead", 10*time.Second, "after which the new key signs")
	return cmd
}

func newKeysList(f *keyFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the keys; nothing secret is shown",
		Args:  cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			s, err := keyfiles.ReadPrivate(f.private)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), s)
		}),
	}
}

func newKeysRetire(f *keyFlags) *cobra.Command {
	var in time.Duration
	cmd := &cobra.Command{
		Use:   "retire ID",
		Short: "Set the end of a key",
		Args:  cobra.ExactArgs(1),
		RunE: cli.Does(func(cmd *cobra.Command, args []string) error {
			return f.change(cmd.OutOrStdout(), func(s *token.KeySet) error { return s.Retire(args[0], wall()+in.Microseconds()) })
		}),
	}
	cmd.Flags().DurationVar(&in, "in", 0, "after which it no longer holds")
	return cmd
}

func newKeysSign(f *keyFlags) *cobra.Command {
	var c identity.Claims
	var audience string
	var lasts time.Duration
	cmd := &cobra.Command{
		Use:   "sign",
		Short: "Sign a token with the newest key that holds",
		Args:  cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			if c.Issuer == "" || c.Subject == "" || audience == "" || lasts <= 0 {
				return errors.New("--issuer, --subject, --audience and --for are needed")
			}
			s, err := keyfiles.ReadPrivate(f.private)
			if err != nil {
				return err
			}
			key, err := s.Signer(wall())
			if err != nil {
				return fmt.Errorf("%s: %w", f.private, err)
			}
			c.Audiences, c.Expires = []string{audience}, wall()+lasts.Microseconds()
			text, err := token.Sign(key, c)
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), text)
			}
			return err
		}),
	}
	cmd.Flags().StringVar(&c.Issuer, "issuer", "", "who signs")
	cmd.Flags().StringVar(&c.Subject, "subject", "", "whom it stands for")
	cmd.Flags().StringVar(&audience, "audience", "", "whom it is for")
	cmd.Flags().StringVar(&c.ID, "id", "", "its id, by which it may be revoked")
	cmd.Flags().DurationVar(&lasts, "for", time.Hour, "how long it holds")
	return cmd
}

// change changes the set and prints what it holds then.
func (f *keyFlags) change(out io.Writer, do func(*token.KeySet) error) error {
	return keyfiles.Change(f.private, f.public, func(s *token.KeySet) error {
		if err := do(s); err != nil {
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
		fmt.Fprintf(out, "%-24s %-6s from %s %s\n", k.ID, k.Algorithm, time.Unix(k.From, 0).UTC().Format(time.RFC3339), until)
	}
	return nil
}
