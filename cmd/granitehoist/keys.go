// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// secretFileMode makes a secret key readable by its owner only.
const secretFileMode = 0o600

// newKeysPartner returns the command that generates a partner's key pair.
func newKeysPartner(app *kingpin.Application, out io.Writer) command {
	clause := keysCommand(app).Command("partner", "Generate the key pair with which a partner signs its documents. The secret key goes to a file, the public key to standard output.")
	file := clause.Flag("out", "File of the secret key; it must not exist.").Required().String()
	return command{clause, func(context.Context) error {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return eris.Wrap(err, "generate key")
		}
		if err := writeSecret(*file, private); err != nil {
			return err
		}
		fmt.Fprintln(out, base64.StdEncoding.EncodeToString(public))
		return nil
	}}
}

// writeSecret writes a partner's secret key to a new file.
func writeSecret(file string, key ed25519.PrivateKey) error {
	secret, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(secret, base64.StdEncoding.EncodeToString(key.Seed()))
	return errors.Join(err, secret.Close())
}

// newKeysCaller returns the command that generates a key for callers.
func newKeysCaller(app *kingpin.Application, out io.Writer) command {
	clause := keysCommand(app).Command("caller", "Generate a key for callers of a workspace, and its hash for the document.")
	return command{clause, func(context.Context) error {
		key := granitehoist.NewID("gh-", rand.Reader)
		hash := config.HashKey(key)
		fmt.Fprintf(out, "key=%s sha256=%s\n", key, hex.EncodeToString(hash[:]))
		return nil
	}}
}

// keysCommand returns the parent of the keys commands.
func keysCommand(app *kingpin.Application) *kingpin.CmdClause {
	const name = "keys"
	if clause := app.GetCommand(name); clause != nil {
		return clause
	}
	return app.Command(name, "Generate keys.")
}

// readSecret reads a partner's secret key, as writeSecret wrote it.
func readSecret(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, eris.Errorf("%s holds no secret key of \"granitehoist keys partner\"", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
