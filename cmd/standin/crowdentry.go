package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Accounts of the crowd and of the ordinary caller, which have the class.
const (
	crowdAccount    primrosespar.Account = "gabes-lumiere"
	ordinaryAccount primrosespar.Account = "medina-energie"
	crowdClass                           = "eligibility"
	// legalEntryBody is the largest body of an entry host by default.
	legalEntryBody = 1 << 20
)

// crowdEntryCommand runs one entry host of the example deployment bascule and
// lets a crowd of hostile clients connect to one of its ports.
type crowdEntryCommand struct {
	crowdLimits `embed:""`

	Port        string `help:"Port that the clients connect to." enum:"callers,operators,peers" default:"callers"`
	Examples    string `help:"Directory of the example deployments." default:"examples" type:"path"`
	Connections int    `help:"Connections of each HTTP address in the host's settings." default:"100"`
}

// Run plays the crowd, prints the result and fails if the host did not hold.
func (c *crowdEntryCommand) Run() error {
	dir, err := makeLogDir(c.Keep)
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find own executable")
	}
	processes := &processGroup{dir: dir}
	defer processes.kill()
	d := &deployment{
		name: "bascule", examplesDir: filepath.Join(c.Examples, "bascule"), programPath: c.Product, standinPath: executable,
		processes: processes, limits: fmt.Sprintf("[limits]\nconnections = %d\n", c.Connections),
	}
	ctx := context.Background()
	if err := d.start(ctx, 1); err != nil {
		return err
	}
	if _, err := d.applyContracts(ctx); err != nil {
		return err
	}
	if err := d.awaitContracts(ctx); err != nil {
		return err
	}
	host := d.hosts[0]
	port := map[string]netip.AddrPort{"callers": host.addresses.Callers, "operators": host.addresses.Operators, "peers": host.addresses.Peers}[c.Port]
	target := crowdTarget{address: port, host: "h", body: legalEntryBody, request: "POST /v1/requests/" + crowdClass +
		" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + d.callerToken(crowdAccount) + "\r\nX-Deadline-Ms: 60000\r\n"}
	result, err := c.play(target, host.process, func() bool { return d.callOnce(ctx, host) })
	if err != nil {
		return err
	}
	result.Port = c.Port
	return c.report(result, dir)
}

// callOnce makes an ordinary call and reports whether it was answered.
func (d *deployment) callOnce(ctx context.Context, host *entryHost) bool {
	url := "http://" + host.addresses.Callers.String() + "/v1/requests/" + crowdClass
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("ordinary"))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+d.callerToken(ordinaryAccount))
	return isAnswered(req)
}
