package main

import (
	"bytes"
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
	// reservedDescriptors are kept for files; sockets and pipes share the rest.
	reservedDescriptors = 200
)

// crowdCommand runs one host of the fleet scheduler with the limits of a small
// machine and lets a crowd of hostile clients connect to one of its ports.
type crowdCommand struct {
	Product  string `help:"Program of the host." default:"bin/primrosespar" type:"path"`
	Kind     string `help:"What the clients send." default:"mixed"`
	Port     string `help:"Port that the clients connect to." enum:"callers,readiness,metrics,peers" default:"callers"`
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
	host, child, err := c.startHost(fleet, processes, dir)
	if err != nil {
		return err
	}
	result, err := c.play(host, child)
	if err != nil {
		return err
	}
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
	if _, answered := submitOrdinary(ports["callers"], "00000000000000a1"); !answered {
		return nil, nil, eris.New("the host accepted no job before the crowd")
	}
	return ports, child, nil
}

// play lets the clients connect and send, and an ordinary client submit a job
// while their connections stay open.
func (c *crowdCommand) play(ports map[string]netip.AddrPort, child *process) (crowdResult, error) {
	crowd, err := newCrowd(c.Kind, ports[c.Port])
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
	attempts, answered := submitOrdinary(ports["callers"], "00000000000000b1")
	peak, alive := child.peakMemory()
	cancel()
	tasks.Wait()
	crowd.close()
	return crowdResult{
		Kind: c.Kind, Port: c.Port, Clients: c.Clients, Alive: alive, PeakMB: float64(peak) / (1 << 20),
		Sockets: sockets, Attempts: attempts, Answered: answered,
	}, nil
}

// judge returns an error unless the host held.
func (c *crowdCommand) judge(r crowdResult) error {
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

// submitOrdinary submits a job like an ordinary client, which tries again after
// a refusal. It returns the number of attempts and whether the job was accepted.
func submitOrdinary(callers netip.AddrPort, id string) (int, bool) {
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	const job = `{"spec":"ordinary","steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":100}]}`
	for attempt := 1; attempt <= ordinaryAttempts; attempt++ {
		if attempt > 1 {
			time.Sleep(ordinaryPause)
		}
		url := "http://" + callers.String() + standin.PlainPrefix + id
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(job)))
		if err != nil {
			return attempt, false
		}
		req.Host = standin.QueueHost
		req.Header.Set("X-Api-Key", standin.APIKey)
		req.Header.Set("Deadline-Ms", fmt.Sprint(ordinaryTimeout.Milliseconds()))
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return attempt, true
		}
	}
	return ordinaryAttempts, false
}
