package main

import (
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chutechute/internal/certs"
	"chutechute/internal/cli"
	"chutechute/internal/keyfiles"
)

func newCert() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "cert",
		Short: "Make certificates for trials",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errors.New("cert: dev?") },
	}
	cmd.AddCommand(newCertDev())
	return cmd
}

func newCertDev() *cobra.Command {
	var dir, name string
	var dns, uris []string
	var lasts time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Make an authority, a certificate that it vouches for and an empty list of what is revoked",
		Long: `Dev writes ca.pem, ca.key, crl.pem and NAME.pem, NAME.key into a folder. An authority that is there already is used
again. They are for trials and tests: the authority's key lies beside it.`,
		Args: cobra.NoArgs,
		RunE: cli.Does(func(cmd *cobra.Command, _ []string) error {
			if strings.ContainsAny(name, "/\\") || name == "" || name == "ca" || name == "crl" {
				return fmt.Errorf("--name: %q is no file's name, or one of the authority's", name)
			}
			at := func(file string) string { return filepath.Join(dir, file) }
			ca, err := authority(at("ca.pem"), at("ca.key"), at("crl.pem"), lasts)
			if err != nil {
				return err
			}
			leaf, err := ca.Leaf(certs.Request{Name: name, DNS: dns, URIs: uris, For: lasts})
			if err != nil {
				return err
			}
			if err := leaf.Write(at(name+".pem"), at(name+".key")); err != nil {
				return err
			}
			return cli.Show(cmd.OutOrStdout(), asJSON, map[string]any{"ca": at("ca.pem"), "crl": at("crl.pem"), "certificate": at(name + ".pem"),
				"key": at(name + ".key"), "expires": leaf.Certificate.NotAfter.UTC().Format(time.RFC3339)},
				fmt.Sprintf("%s and %s, good until %s", at(name+".pem"), at(name+".key"), leaf.Certificate.NotAfter.UTC().Format(time.RFC3339)))
		}),
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "the `folder`")
	cmd.Flags().StringVar(&name, "name", "front", "the certificate's name, and its files'")
	cmd.Flags().StringSliceVar(&dns, "dns", nil, "DNS names that it is for")
	cmd.Flags().StringSliceVar(&uris, "uri", nil, "URIs that it stands for, such as spiffe://legon/desk/4")
	cmd.Flags().DurationVar(&lasts, "for", 30*24*time.Hour, "how long it holds")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// authority is the one in the files or, where there is none, a new one with an empty list of what is revoked.
func authority(cert, key, crl string, lasts time.Duration) (*certs.CA, error) {
	ca, err := certs.ReadCA(cert, key)
	if err != nil || ca != nil {
		return ca, err
	}
	if ca, err = certs.NewCA("chutechute trials", lasts); err != nil {
		return nil, err
	}
	list, err := ca.Revoke(1, lasts, []*x509.Certificate{}...)
	if err != nil {
		return nil, err
	}
	if err := keyfiles.Write(crl, list, 0o644); err != nil {
		return nil, err
	}
	return ca, ca.Write(cert, key)
}
