// Package handler implements the operator commands of the command line.
//
// # Usage
//
//	var cli handler.Commands
//	ctx := kong.Parse(&cli, handler.KongOptions()...)
//	code := handler.Run(ctx, &cli, os.Stdout, os.Stderr)
package handler

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

// Version is the version that the command line prints.
const Version = "0.1.0"

// maxFileSize bounds the size of the files that the commands read. A contract
// is smaller.
const maxFileSize = 1 << 20

// Commands defines the flags and commands for operators.
type Commands struct {
	Server    string `help:"URL of an entry host's address for operators." default:"http://127.0.0.1:7102" env:"PRIMROSESPAR_SERVER" placeholder:"URL"`
	Token     string `help:"File that holds the operator's token. Without it the token is read from the environment variable PRIMROSESPAR_TOKEN." placeholder:"FILE" type:"path"`
	Authority string `help:"PEM file of the authority that signed the host's certificate." placeholder:"FILE" type:"path"`
	Output    string `help:"Output format: ${enum}." enum:"table,json" default:"table"`

	Contract contractCommands `cmd:"" help:"Check, apply and read contracts."`
	Job      jobCommands      `cmd:"" help:"Submit, list and cancel jobs."`
	Status   statusCommand    `cmd:"" help:"Show the state of the host's place."`
	Explain  explainCommand   `cmd:"" help:"Explain what happened to a request or a job."`
	Incident incidentCommands `cmd:"" help:"Write incident reports."`
	Config   configCommands   `cmd:"" help:"Check and print settings files."`
	Codes    codesCommand     `cmd:"" help:"List the result codes."`
	Version  versionCommand   `cmd:"" help:"Print the version."`
}

// Env holds the output and the client that commands use.
type Env struct {
	out     io.Writer
	printer *printer.Printer
	caller  *caller.Caller
}

// KongOptions returns the options of the command line parser.
func KongOptions() []kong.Option {
	return []kong.Option{
		kong.Name("primrosespar"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
}

const description = `Scheduler for multi-accelerator jobs under client account guarantees.

Examples:

  primrosespar contract check nord.contract.toml

  primrosespar contract apply nord.contract.toml --base 3

  primrosespar job submit --account nord --class allotment --place burnie-a --members 4 --block 8 --declared 2h --deadline 6h

  primrosespar incident report --from 2026-03-01T02:00:00Z --to 2026-03-01T04:00:00Z

The exit code is that of the result code; see "primrosespar codes".`

// Run runs the parsed command and returns the exit code. It writes errors to
// stderr.
func Run(ctx *kong.Context, cli *Commands, stdout, stderr io.Writer) int {
	env, err := newEnv(cli, stdout)
	if err == nil {
		err = ctx.Run(env)
	}
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "primrosespar: "+message(err))
	return primrosespar.CodeOf(err).Info().Exit
}

// message returns the text of an error and says if the command may have taken
// effect.
func message(err error) string {
	var failure *primrosespar.Failure
	if errors.As(err, &failure) && failure.Ran == primrosespar.RanUnknown {
		return err.Error() + " (it may have taken effect)"
	}
	return err.Error()
}

// newEnv reads the token and the certificates and returns the Env.
func newEnv(cli *Commands, out io.Writer) (*Env, error) {
	token := os.Getenv("PRIMROSESPAR_TOKEN")
	if cli.Token != "" {
		data, err := readFile(cli.Token)
		if err != nil {
			return nil, err
		}
		token = string(data)
	}
	opts := []caller.Option{caller.WithServer(cli.Server), caller.WithToken(strings.TrimSpace(token))}
	if cli.Authority != "" {
		transport, err := newTransport(cli.Authority)
		if err != nil {
			return nil, err
		}
		opts = append(opts, caller.WithTransport(transport))
	}
	return &Env{
		out:     out,
		printer: printer.New(out, printer.Format(cli.Output)),
		caller:  caller.New(opts...),
	}, nil
}

// newTransport returns a transport that trusts only the certificate authority
// in the PEM file.
func newTransport(path string) (http.RoundTripper, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "%s contains no PEM certificate", path)
	}
	return &http.Transport{
		TLSClientConfig:   &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12},
		DisableKeepAlives: true,
	}, nil
}

// readFile reads a file of at most maxFileSize bytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "cannot read the file").WithCause(eris.Wrap(err, "open"))
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "cannot read the file").WithCause(eris.Wrap(err, path))
	}
	if len(data) > maxFileSize {
		return nil, primrosespar.Fail(primrosespar.CodeBodyTooLarge, "%s is larger than %d bytes", path, maxFileSize)
	}
	return data, nil
}

// newID returns a random ID for an amendment or a submission.
func newID() string { return rand.Text() }
