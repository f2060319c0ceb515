// Package certifier holds the TLS keys of a host and reads them again when
// their files change, without a restart.
//
// # Usage
//
//	c, err := certifier.New(certifier.Files{Certificate: "host.pem", Key: "host.key", Authority: "ca.pem"},
//		certifier.WithClock(clock), certifier.WithOnError(report))
//	go c.Run(ctx)
//	listener = tls.NewListener(listener, c.Public()) // callers and operators
//	config := c.Peers()                              // one connection between hosts
//	transport := c.Transport()                       // to the platform
//
// Hosts authenticate each other by the authority: both sides show a
// certificate that it signed, and the dialled one must name the IP address.
// Open connections keep the keys that they were made with.
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

// defaultPeriod is the time between two looks at the files.
const defaultPeriod = 10 * time.Second

// Files are the PEM files of a host.
type Files struct {
	Certificate, Key, Authority string
}

// Options set up a Certifier.
type Options struct {
	Clock primrosespar.Clock
	// Period is the time between two looks at the files.
	Period time.Duration
	// OnError is told once of each content that cannot be used.
	OnError func(error)
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithPeriod sets the time between two looks at the files.
func WithPeriod(d time.Duration) Option { return func(o *Options) { o.Period = d } }

// WithOnError sets who is told of files that cannot be used.
func WithOnError(f func(error)) Option { return func(o *Options) { o.OnError = f } }

// keys are the parsed files.
type keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Certifier holds the keys. It is safe for concurrent use.
type Certifier struct {
	files Files
	opts  Options
	// content is the content last looked at, usable or not.
	content [3][]byte

	mu   sync.Mutex
	keys keys
}

// New reads the files; it fails if they cannot be used.
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

// Run looks at the files each period until ctx ends.
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

// reload takes over changed files. Files that cannot be used leave the keys as
// they are; a certificate and its key that are replaced one after the other
// do not match in between and are taken over by a later look.
func (c *Certifier) reload() {
	content, err := c.read()
	if err != nil {
		// An unreadable file counts as one content, reported once.
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
		c.opts.OnError(eris.Wrap(err, "keep the old TLS keys"))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = reloaded
}

// read returns the content of the certificate, key and authority.
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

// parse checks that the files belong together: the key fits the certificate
// and the authority has certificates.
func parse(content [3][]byte) (keys, error) {
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return keys{}, eris.Wrap(err, "certificate and key")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(content[2]) {
		return keys{}, eris.New("the authority file has no certificate")
	}
	return keys{certificate, authority}, nil
}

func (c *Certifier) current() keys {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys
}

// Public returns the encryption of the listeners for callers and operators,
// who authenticate by token. It always uses the newest certificate.
func (c *Certifier) Public() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate := c.current().certificate
			return &certificate, nil
		},
	}
}

// Transport returns the HTTP transport to the platform. Each new connection
// trusts only the newest authority.
func (c *Certifier) Transport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.current().authority}
		return (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
	}
	return transport
}

// Peers returns the encryption of one connection between hosts, for either
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
