package certs

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/keyfiles"
)

// maxFileBytes is the maximum size of each file.
const maxFileBytes = 4 << 20

// The types of PEM blocks (RFC 7468). Older programs write some of the others.
const (
	certificateBlock    = "CERTIFICATE"
	oldCertificateBlock = "X509 CERTIFICATE"
	crlBlock            = "X509 CRL"
	oldCRLBlock         = "CRL"
	ecParametersBlock   = "EC PARAMETERS" // repeats what the private key after it contains
	privateKeySuffix    = "PRIVATE KEY"
)

// errDamagedPEM is the error for a PEM file of which a block can't be read.
var errDamagedPEM = errors.New("a PEM block is damaged or incomplete")

// Parts of the lines before and after a PEM block, without most of their dashes, so that a damaged line is found too.
var (
	beginMarker = []byte("-BEGIN ")
	endMarker   = []byte("-END ")
)

// decodePEM returns all blocks of a PEM text, none if it has no block. Text outside the blocks is a comment. A block
// that can't be read is an error, as pem.Decode would pass over it, and so is one of a type for which isAllowed returns
// false, as its content would not be used.
func decodePEM(text []byte, isAllowed func(blockType string) bool) (blocks []*pem.Block, err error) {
	begins, ends := bytes.Count(text, beginMarker), bytes.Count(text, endMarker)
	for len(text) > 0 {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		blocks = append(blocks, block)
	}
	if begins != len(blocks) || ends != len(blocks) {
		return nil, errDamagedPEM
	}
	for i, block := range blocks {
		if !isAllowed(block.Type) {
			return nil, fmt.Errorf("PEM block %d is a %q, which does not belong here", i+1, block.Type)
		}
	}
	return blocks, nil
}

func isCertificate(blockType string) bool {
	return blockType == certificateBlock || blockType == oldCertificateBlock
}

func isCRL(blockType string) bool { return blockType == crlBlock || blockType == oldCRLBlock }

func isPrivateKey(blockType string) bool {
	return blockType == privateKeySuffix || strings.HasSuffix(blockType, " "+privateKeySuffix)
}

func isKeyFileBlock(blockType string) bool {
	return isPrivateKey(blockType) || blockType == ecParametersBlock
}

// loadCertificates reads a PEM file with one or more certificates.
func loadCertificates(path string) (list []*x509.Certificate, err error) {
	text, err := keyfiles.Read(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	blocks, err := decodePEM(text, isCertificate)
	if err == nil {
		list, err = parseCertificates(blocks)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%s: contains no certificate", path)
	}
	return list, nil
}

// parseCertificates parses the blocks that are certificates.
func parseCertificates(blocks []*pem.Block) (list []*x509.Certificate, err error) {
	for i, block := range blocks {
		if !isCertificate(block.Type) {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("PEM block %d: %w", i+1, err)
		}
		list = append(list, c)
	}
	return list, nil
}

// checkPair returns an error, which names the file, if the text of a certificate with its chain, or that of its private
// key, contains anything that would not be used. Both may be in one file.
func checkPair(p PairFiles, certificate, key []byte) error {
	isCombined := p.Certificate == p.Key
	blocks, err := decodePEM(certificate, func(blockType string) bool {
		return blockType == certificateBlock || isCombined && isKeyFileBlock(blockType)
	})
	if err == nil {
		_, err = parseCertificates(blocks) // the whole chain: tls.X509KeyPair parses the first certificate only
	}
	if err != nil {
		return fmt.Errorf("%s: %w", p.Certificate, err)
	}
	blocks, err = decodePEM(key, func(blockType string) bool {
		return isKeyFileBlock(blockType) || isCombined && blockType == certificateBlock
	})
	if err == nil {
		blocks = slices.DeleteFunc(blocks, func(block *pem.Block) bool { return !isPrivateKey(block.Type) })
		if len(blocks) != 1 {
			err = fmt.Errorf("contains %d private keys, must be one", len(blocks))
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", p.Key, err)
	}
	return nil
}
