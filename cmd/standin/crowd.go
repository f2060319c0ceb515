package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/platform/standin"
)

// Times and numbers of a crowd.
const (
	// crowdPlayTime bounds the time in which the clients send.
	crowdPlayTime = 5 * time.Second
	// crowdSettleTime is how long the host has to take in what was sent.
	crowdSettleTime = time.Second
	// crowdSampleInterval is the time between two readings of the open sockets.
	crowdSampleInterval = 20 * time.Millisecond
	// ordinaryAttempts and ordinaryPause bound the attempts of the ordinary
	// client, of which one has to be answered.
	ordinaryAttempts = 60
	ordinaryPause    = 250 * time.Millisecond
	ordinaryTimeout  = 3 * time.Second
	// legalBody is the largest body that the operator allows.
	legalBody = 262_144
	// reservedDescriptors are kept for files; sockets and pipes share the rest.
	reservedDescriptors = 200
)

// crowdCommand runs one host of the fleet scheduler with the limits of a small
// machine and lets a crowd of hostile clients connect to one of its ports.
type crowdCommand struct {
	crowdLimits `embed:""`

	Port string `help:"Port that the clients connect to." enum:"callers,readiness,metrics,peers" default:"callers"`
}

// crowdLimits are the clients of a crowd and the machine of the host.
type crowdLimits struct {
	Product  string `help:"Program of the host." default:"bin/primrosespar" type:"path"`
	Kind     string `help:"What the clients send." default:"mixed"`
	Clients  int    `help:"Number of clients." default:"2000"`
	MemoryMB int64  `help:"Memory of the host." default:"184"`
	MaxFDs   int    `name:"max-fds" help:"Descriptors of the host." default:"4100"`
	Keep     string `help:"Directory for the logs; a temporary one by default." type:"path"`
}

// crowdResult is what a crowd did to the host.
type crowdResult struct {
	Kind     string  `json:"kind"`
	Port     string  `json:"port"`
	Clients  int     `json:"clients"`
	Alive    bool    `json:"alive"`
	PeakMB   float64 `json:"peak_mb"`
	Sockets  int     `json:"sockets"`
	Attempts int     `json:"attempts"`
	Answered bool    `json:"answered"`
}

// Run plays the crowd, prints the result and fails if the host did not hold.
func (c *crowdCommand) Run() error {
	dir, err := makeLogDir(c.Keep)
	if err != nil {
		return err
	}
	fleet, err := standin.New()
	if err != nil {
		return err
	}
	defer fleet.Close()
	processes := &processGroup{dir: dir}
	defer processes.kill()
	ports, child, err := c.startHost(fleet, processes, dir)
	if err != nil {
		return err
	}
	target := crowdTarget{address: ports[c.Port], host: standin.QueueHost, body: legalBody, request: "POST " + standin.PlainPrefix +
		"00000000000000c1 HTTP/1.1\r\nHost: " + standin.QueueHost + "\r\nX-Api-Key: " + standin.APIKey +
		"\r\nDeadline-Ms: 60000\r\nContent-Type: application/json\r\n"}
	result, err := c.play(target, child, func() bool { return submitOnce(ports["callers"], "00000000000000b1") })
	if err != nil {
		return err
	}
	result.Port = c.Port
	return c.report(result, dir)
}

// report prints the result and fails if the host did not hold. The logs stay
// then, and if they are to be kept.
func (c *crowdLimits) report(result crowdResult, dir string) error {
	if err := printJSONLine(result); err != nil {
		return err
	}
	if err := c.judge(result); err != nil {
		return eris.Wrapf(err, "logs in %s", dir)
	}
	if c.Keep != "" {
		return nil
	}
	return eris.Wrap(os.RemoveAll(dir), "remove logs")
}

// startHost starts the host and waits until it accepts a job.
func (c *crowdCommand) startHost(fleet *standin.Fleet, processes *processGroup, dir string) (map[string]netip.AddrPort, *process, error) {
	ip := netip.AddrFrom4([4]byte{127, 0, 1, 1})
	port, err := freePorts(ip.String(), 4)
	if err != nil {
		return nil, nil, err
	}
	ports := map[string]netip.AddrPort{}
	for i, name := range []string{"callers", "readiness", "peers", "metrics"} {
		ports[name] = netip.AddrPortFrom(ip, uint16(port+i))
	}
	settings := fleet.Settings(standin.HostSettings{
		Name: "host-0", IP: ip.String(), Callers: port, Readiness: port + 1, Peers: port + 2,
		Store: fleet.StoreAddress(), MemoryMB: c.MemoryMB, MaxFDs: c.MaxFDs,
	})
	path := filepath.Join(dir, "host-0.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, nil, eris.Wrap(err, "write settings")
	}
	child, err := processes.start(context.Background(), "host-0", c.Product, []string{"fleet", "--settings", path}, func(line []byte) bool {
		return strings.Contains(string(line), "host has started")
	})
	if err != nil {
		return nil, nil, err
	}
	if _, answered := repeat(func() bool { return submitOnce(ports["callers"], "00000000000000a1") }); !answered {
		return nil, nil, eris.New("the host accepted no job before the crowd")
	}
	return ports, child, nil
}

// play lets the clients connect and send, and an ordinary client make a request
// while their connections stay open.
func (c *crowdLimits) play(target crowdTarget, child *process, ordinary func() bool) (crowdResult, error) {
	crowd, err := newCrowd(c.Kind, target)
	if err != nil {
		return crowdResult{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	sockets := 0
	tasks.Go(func() {
		for ctx.Err() == nil {
			sockets = max(sockets, child.sockets())
			time.Sleep(crowdSampleInterval)
		}
	})
	crowd.play(c.Clients, crowdPlayTime)
	time.Sleep(crowdSettleTime)
	attempts, answered := repeat(ordinary)
	peak, alive := child.peakMemory()
	cancel()
	tasks.Wait()
	crowd.close()
	return crowdResult{
		Kind: c.Kind, Clients: c.Clients, Alive: alive, PeakMB: float64(peak) / (1 << 20),
		Sockets: sockets, Attempts: attempts, Answered: answered,
	}, nil
}

// judge returns an error unless the host held.
func (c *crowdLimits) judge(r crowdResult) error {
	var problems []string
	if !r.Alive {
		problems = append(problems, "the process has ended")
	}
	if r.PeakMB > float64(c.MemoryMB) {
		problems = append(problems, fmt.Sprintf("memory reached %.0f MB, the machine has %d MB", r.PeakMB, c.MemoryMB))
	}
	if limit := c.MaxFDs - reservedDescriptors; r.Sockets > limit {
		problems = append(problems, fmt.Sprintf("%d sockets were open, the machine allows %d", r.Sockets, limit))
	}
	if !r.Answered {
		problems = append(problems, "no ordinary request was accepted")
	}
	if len(problems) > 0 {
		return eris.New(strings.Join(problems, "; "))
	}
	return nil
}

// repeat tries like an ordinary client, which comes back after a refusal. It
// returns the number of attempts and whether one had success.
func repeat(try func() bool) (int, bool) {
	for attempt := 1; attempt <= ordinaryAttempts; attempt++ {
		if try() {
			return attempt, true
		}
		time.Sleep(ordinaryPause)
	}
	return ordinaryAttempts, false
}

// submitOnce submits a job and reports whether it was accepted.
func submitOnce(callers netip.AddrPort, id string) bool {
	const job = `{"spec":"ordinary","steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":100}]}`
	url := "http://" + callers.String() + standin.PlainPrefix + id
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(job))
	if err != nil {
		return false
	}
	req.Host = standin.QueueHost
	req.Header.Set("X-Api-Key", standin.APIKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(ordinaryTimeout.Milliseconds()))
	return isAnswered(req)
}

// isAnswered makes a request on a connection of its own and reports whether the
// answer was 200.
func isAnswered(req *http.Request) bool {
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
