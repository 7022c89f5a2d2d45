package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

const checkHelp = `
Reads a manifest in JSON with comments and reports every problem with its file,
line, column and code. A manifest that passes compiles in every daemon of the
same release. Nothing is sent over the network.`

// manifestFile is the positional argument of a command that reads one manifest.
type manifestFile struct {
	File flags.Filename `positional-arg-name:"FILE" description:"manifest file"`
}

type checkCommand struct {
	Args manifestFile `positional-args:"yes" required:"yes"`
}

// summary describes a valid manifest.
type summary struct {
	File        string `json:"file"`
	Mesh        string `json:"mesh"`
	Digest      string `json:"digest"`
	DataCentres int    `json:"data_centres"`
	Services    int    `json:"services"`
	Routes      int    `json:"routes"`
	RetryRules  int    `json:"retry_rules"`
	Customers   int    `json:"customers"`
	// Bytes is the size of the canonical JSON.
	Bytes int `json:"bytes"`
}

func (c *checkCommand) run(context.Context, io.Writer) (output, error) {
	m, err := readManifest(string(c.Args.File))
	if err != nil {
		return nil, err
	}
	return summarize(string(c.Args.File), m), nil
}

// readManifest reads, parses and compiles a file. The error is a failure, or
// Problems if the manifest is invalid.
func readManifest(file string) (*manifest.Manifest, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, failed(ExitUnavailable, code.OK, "%v", err)
	}
	m, problems := manifest.Parse(file, source)
	if problems != nil {
		return nil, problems
	}
	if _, err := manifest.Compile(m); err != nil {
		return nil, failed(ExitInvalid, code.OK, "%s: %v", file, err)
	}
	return m, nil
}

func summarize(file string, m *manifest.Manifest) *summary {
	body := m.Canonical()
	return &summary{
		File:        file,
		Mesh:        m.Mesh,
		Digest:      manifest.DigestOf(body).String(),
		DataCentres: len(m.DataCentres),
		Services:    len(m.Services),
		Routes:      len(m.Routes),
		RetryRules:  len(m.RetryRules),
		Customers:   len(m.Customers),
		Bytes:       len(body),
	}
}

func (s *summary) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s is valid\n", s.File)
	fmt.Fprintf(w, "mesh    %s\n", s.Mesh)
	fmt.Fprintf(w, "digest  %s\n", s.Digest)
	fmt.Fprintf(w, "holds   data centres %d, services %d, routes %d, retry rules %d, customers %d; %d bytes\n",
		s.DataCentres, s.Services, s.Routes, s.RetryRules, s.Customers, s.Bytes)
}
