// Package certifier holds the TLS certificate, key and authority of a host and
// reloads them when their files change, without a restart.
//
// # Usage
//
//	c, err := certifier.New(certifier.Files{Certificate: "host.pem", Key: "host.key", Authority: "ca.pem"},
//		certifier.WithClock(clock), certifier.WithOnError(logError))
//	go c.Run(ctx)
//	listener = tls.NewListener(listener, c.Public()) // callers and operators
//	config := c.Peers()                              // a connection between hosts
//	transport := c.Transport()                       // HTTP calls to the platform
//
// Hosts authenticate each other with mutual TLS: each side presents a
// certificate that the authority has signed, and that of the dialled host must
// name its IP address. Open connections keep the certificate and key that they
// were established with.
package certifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// defaultPeriod is the default time between checks of the files.
const defaultPeriod = 10 * time.Second

// Files are the paths of a host's PEM files.
type Files struct {
	Certificate, Key, Authority string
}

// Options are the optional parts of a Certifier.
type Options struct {
	Clock primrosespar.Clock
	// Period is the time between checks of the files.
	Period time.Duration
	// OnError is called once for each content of the files that cannot be used.
	OnError func(error)
}

// Option sets one of the Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithPeriod sets the time between checks of the files.
func WithPeriod(d time.Duration) Option { return func(o *Options) { o.Period = d } }

// WithOnError sets the function that receives errors of changed files.
func WithOnError(f func(error)) Option { return func(o *Options) { o.OnError = f } }

// keys are the parsed certificate, key and authority.
type keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Certifier holds the TLS keys of a host. It is safe for concurrent use.
type Certifier struct {
	files Files
	opts  Options
	// content is what the files held at the last check, usable or not. Only New
	// and Run access it.
	content [3][]byte

	mu   sync.Mutex
	keys keys
}

// New returns a Certifier with the keys of the files. It fails if the files
// cannot be read or used.
func New(files Files, opts ...Option) (*Certifier, error) {
	c := &Certifier{files: files, opts: Options{
		Clock: clockwork.NewRealClock(), Period: defaultPeriod, OnError: func(error) {},
	}}
	for _, set := range opts {
		set(&c.opts)
	}
	content, err := c.read()
	if err != nil {
		return nil, err
	}
	c.content = content
	c.keys, err = parse(content)
	return c, err
}

// Run checks the files for changes each period until ctx is done.
func (c *Certifier) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.opts.Clock.After(c.opts.Period):
			c.reload()
		}
	}
}

// reload replaces the keys if the files have changed. Files that cannot be used
// leave the keys as they are. A certificate and its key that are replaced one
// after the other do not match in between; a later check loads them.
func (c *Certifier) reload() {
	content, err := c.read()
	if err != nil {
		// The error stands for the content, so that it is reported only once.
		content = [3][]byte{[]byte(err.Error())}
	}
	if equalContent(content, c.content) {
		return
	}
	c.content = content
	var reloaded keys
	if err == nil {
		reloaded, err = parse(content)
	}
	if err != nil {
		c.opts.OnError(eris.Wrap(err, "reload TLS files, keeping the old keys"))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = reloaded
}

// read returns the content of the certificate, key and authority files.
func (c *Certifier) read() (content [3][]byte, err error) {
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if content[i], err = os.ReadFile(name); err != nil {
			return content, eris.Wrap(err, "read TLS file")
		}
	}
	return content, nil
}

func equalContent(a, b [3][]byte) bool {
	return bytes.Equal(a[0], b[0]) && bytes.Equal(a[1], b[1]) && bytes.Equal(a[2], b[2])
}

// parse parses the files. It fails if the key does not belong to the
// certificate or the authority file contains no certificate.
func parse(content [3][]byte) (keys, error) {
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return keys{}, eris.Wrap(err, "parse certificate and key")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(content[2]) {
		return keys{}, eris.New("the authority file contains no certificate")
	}
	return keys{certificate, authority}, nil
}

func (c *Certifier) current() keys {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys
}

// Public returns the TLS configuration of the listeners for callers and
// operators, who authenticate by token. Each new connection uses the newest
// certificate.
func (c *Certifier) Public() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate := c.current().certificate
			return &certificate, nil
		},
	}
}

// Transport returns the HTTP transport for calls to the platform. Each new
// connection trusts only the newest authority.
func (c *Certifier) Transport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.current().authority}
		return (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
	}
	return transport
}

// Peers returns the TLS configuration of a connection between hosts, for either
// side, with the newest keys.
func (c *Certifier) Peers() *tls.Config {
	k := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authority,
		ClientCAs:    k.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}
