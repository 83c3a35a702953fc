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
		Short: "Issue certificates for development and tests",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errors.New("cert: missing subcommand: dev") },
	}
	cmd.AddCommand(newCertDev())
	return cmd
}

func newCertDev() *cobra.Command {
	var dir, name string
	var dns, uris []string
	var validity time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Create a CA, a certificate that it signs, and an empty revocation list",
		Long: `Dev writes ca.pem, ca.key, crl.pem, NAME.pem and NAME.key into a folder. If the folder already has a CA, that
is used. The files are for development and tests only: the CA's private key is stored beside its certificate.`,
		Args: cobra.NoArgs,
		RunE: cli.RunE(func(cmd *cobra.Command, _ []string) error {
			if strings.ContainsAny(name, "/\\") || name == "" || name == "ca" || name == "crl" {
				return fmt.Errorf("--name: %q is not a file name, or is the name of one of the CA's files", name)
			}
			inFolder := func(file string) string { return filepath.Join(dir, file) }
			ca, err := readOrCreateCA(inFolder("ca.pem"), inFolder("ca.key"), inFolder("crl.pem"), validity)
			if err != nil {
				return err
			}
			leaf, err := ca.Leaf(certs.Request{Name: name, DNS: dns, URIs: uris, Lifetime: validity})
			if err != nil {
				return err
			}
			if err := leaf.Write(inFolder(name+".pem"), inFolder(name+".key")); err != nil {
				return err
			}
			return cli.PrintResult(cmd.OutOrStdout(), asJSON, map[string]any{"ca": inFolder("ca.pem"),
				"crl": inFolder("crl.pem"), "certificate": inFolder(name + ".pem"), "key": inFolder(name + ".key"),
				"expires": leaf.Certificate.NotAfter.UTC().Format(time.RFC3339)},
				fmt.Sprintf("%s and %s, good until %s", inFolder(name+".pem"), inFolder(name+".key"),
					leaf.Certificate.NotAfter.UTC().Format(time.RFC3339)))
		}),
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "the `folder` that the files are written to")
	cmd.Flags().StringVar(&name, "name", "front", "the common name of the certificate, and the name of its files")
	cmd.Flags().StringSliceVar(&dns, "dns", nil, "DNS names of the certificate")
	cmd.Flags().StringSliceVar(&uris, "uri", nil, "URIs of the certificate, such as spiffe://legon/desk/4")
	cmd.Flags().DurationVar(&validity, "for", 30*24*time.Hour, "how long new certificates are valid")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// readOrCreateCA returns the CA in the files. If there is none it creates one, with an empty revocation list.
func readOrCreateCA(cert, key, crl string, validity time.Duration) (*certs.CA, error) {
	ca, err := certs.ReadCA(cert, key)
	if err != nil || ca != nil {
		return ca, err
	}
	if ca, err = certs.NewCA("chutechute trials", validity); err != nil {
		return nil, err
	}
	list, err := ca.CreateCRL(1, validity, []*x509.Certificate{}...)
	if err != nil {
		return nil, err
	}
	if err := keyfiles.Write(crl, list, 0o644); err != nil {
		return nil, err
	}
	return ca, ca.Write(cert, key)
}
