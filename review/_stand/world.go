package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "svc"
	queueHost   = "jobs.example"
	queuePrefix = "/batch/"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	maxAttempts = 4

	frontendPort  = 8521
	readinessPort = 8523
	controlPort   = 8526
	peerPort      = 7000
	metricsPort   = 9464
	storePort     = 8524
	workerPort    = 8080

	// restartDelay is how long a host that was killed stays down.
	restartDelay = time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// host is one process of the system.
type host struct {
	name  string
	zone  string
	index int
	ip    string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

// world holds the platform, the workers and the hosts of one trial.
type world struct {
	base    string
	dir     string
	record  *os.File
	started time.Time
	store   *store
	workers []*worker
	hosts   []*host
	// kinds holds the kinds of the workers that are not of kind a.
	kinds map[int]string
	// links holds the proxies by source host and target.
	links map[string]*proxy

	mu     sync.Mutex
	runs   []*run
	broken []string
	closed bool
	group  sync.WaitGroup
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, started: time.Now(), links: map[string]*proxy{}}
	// Each trial has loopback addresses of its own.
	for range 50 {
		w.base = fmt.Sprintf("127.%d.%d", 10+rand.Intn(200), 10+rand.Intn(200))
		l, err := net.Listen("tcp", w.base+".1:9")
		if err != nil {
			l, err = net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.base, peerPort))
		}
		if err == nil {
			_ = l.Close()
			break
		}
	}
	w.store = newStore()
	w.store.rejected = func(h int, reason string) { w.note("store refuses a transaction of host %d with 400: %s", h, reason) }
	return w, nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.note("BROKEN %s", line)
	w.mu.Lock()
	w.broken = append(w.broken, line)
	w.mu.Unlock()
}

// began records a start. The caller holds the lock of the worker.
func (w *world) began(r *run, o order) {
	w.note("start  %s run %d on %s (%s), token %d", r.task, r.number, r.worker.id, r.worker.zone, o.Token)
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
}

// allRuns returns the runs so far.
func (w *world) allRuns() []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*run(nil), w.runs...)
}

// Addresses. Hosts see workers, the store and each other through proxies, so
// that links can be cut by source and target.
func (w *world) hostIP(k int) string          { return fmt.Sprintf("%s.%d", w.base, 100+k) }
func (w *world) hostSeenBy(i, k int) string   { return fmt.Sprintf("%s.%d", w.base, 110+10*i+k) }
func (w *world) workerIP(k int) string        { return fmt.Sprintf("%s.%d", w.base, 10+k) }
func (w *world) workerSeenBy(i, k int) string { return fmt.Sprintf("%s.%d", w.base, 150+20*i+k) }
func (w *world) storeIP(i int) string         { return fmt.Sprintf("%s.%d", w.base, 40+i) }
func (w *world) storeSeenBy(i int) string     { return fmt.Sprintf("%s.%d", w.base, 50+i) }

// build starts the platform, the workers and the hosts: hostsPerZone and
// workersPerZone in each of the three zones.
func (w *world) build(hostsPerZone, workersPerZone int) error {
	w.configure()
	for i, zone := range zones {
		for j := range workersPerZone {
			k := i*workersPerZone + j
			address := fmt.Sprintf("%s:%d", w.workerIP(k), workerPort)
			kind := "a"
			if other, ok := w.kinds[k]; ok {
				kind = other
			}
			wk := newWorker(w, fmt.Sprintf("i-%08x", 0x7f3a91c0+k), zone, fmt.Sprintf("r%d-1", i+1), kind, address)
			if err := serve(address, wk); err != nil {
				return err
			}
			w.workers = append(w.workers, wk)
			go func() {
				for !w.isClosed() {
					wk.beat()
					time.Sleep(workerBeat)
				}
			}()
			go func() {
				for !w.isClosed() {
					wk.tick()
					time.Sleep(5 * time.Millisecond)
				}
			}()
		}
	}
	for i, zone := range zones {
		for j := range hostsPerZone {
			k := i*hostsPerZone + j
			w.hosts = append(w.hosts, &host{name: fmt.Sprintf("edge-%s-%d", zone, j+1), zone: zone, index: k, ip: w.hostIP(k)})
		}
	}
	for _, h := range w.hosts {
		if err := w.connect(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.start(h); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the first configuration.
func (w *world) configure() {
	w.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-batch", "host": queueHost, "pathPrefix": queuePrefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 3000, "priority": 1, "service": serviceName, "maxAttempts": maxAttempts, "slackFactor": 3.0, "public": false,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	})
}

func serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return nil
}

// connect makes the links of one host to the store, the workers and the other
// hosts.
func (w *world) connect(h *host) error {
	link := func(name, listen, target string) error {
		p, err := newProxy(listen, target)
		w.links[h.name+">"+name] = p
		return err
	}
	v := view{store: w.store, host: h.index, translate: func(table string, value []byte) []byte {
		switch table {
		case "servers":
			for k := range w.workers {
				value = bytes.ReplaceAll(value, []byte(`"`+w.workerIP(k)+":"), []byte(`"`+w.workerSeenBy(h.index, k)+":"))
			}
		case "fleet_lease":
			// The row names the address of the process that leads.
			for k := range w.hosts {
				if k != h.index {
					value = bytes.ReplaceAll(value, net.ParseIP(w.hostIP(k)).To4(), net.ParseIP(w.hostSeenBy(h.index, k)).To4())
					value = bytes.ReplaceAll(value, []byte(w.hostIP(k)+":"), []byte(w.hostSeenBy(h.index, k)+":"))
				}
			}
		}
		return value
	}}
	storeAddress := fmt.Sprintf("%s:%d", w.storeIP(h.index), storePort)
	if err := serve(storeAddress, v); err != nil {
		return err
	}
	if err := link("store", fmt.Sprintf("%s:%d", w.storeSeenBy(h.index), storePort), storeAddress); err != nil {
		return err
	}
	for k, wk := range w.workers {
		if err := link(wk.id, fmt.Sprintf("%s:%d", w.workerSeenBy(h.index, k), workerPort), wk.address); err != nil {
			return err
		}
	}
	for k, other := range w.hosts {
		if k == h.index {
			continue
		}
		if err := link(other.name, fmt.Sprintf("%s:%d", w.hostSeenBy(h.index, k), peerPort), fmt.Sprintf("%s:%d", w.hostIP(k), peerPort)); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings file of a host.
func (w *world) settings(h *host) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = \"fleet\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\nip = %q\n", h.name, h.ip)
	fmt.Fprintf(&b, "zone = %q\nregion = %q\nportRange = [%d, %d]\nseedNodes = []\nbootstrap = true\n", h.zone, "region-"+h.zone, peerPort, peerPort+15)
	b.WriteString("faultCounted = false\ndiscovery = \"platform\"\nentryPoint = \"virtual_ip\"\nheartbeatMs = 1500\n")
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"invocation\"\n")
	b.WriteString("[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z, "region-"+z)
	}
	fmt.Fprintf(&b, "[listenAddrs]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrolPlane = \"%s:%d\"\n", h.ip, frontendPort, h.ip, readinessPort, h.ip, controlPort)
	b.WriteString("[limits]\ncpuQuota = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\n")
	b.WriteString("configApplyMs = 3000\nrollbackSlackMs = 250\nouterMs = 6000\nrevokeStrict = false\nrevokeMs = 5000\nrecoveryS = 12\nholdMaxMs = 6000\n")
	b.WriteString("stopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 3\n")
	b.WriteString("checkpointIntervalS = 2\nrestoreMs = 600\nnoticeMs = 5500\nmigrateS = 1.5\nmaintenanceS = 2\nfencingEnforced = false\nleaseMs = 3000\nthawMs = 300\n")
	b.WriteString("pacingMs = 100\nimpactMs = 4000\nreclaimMs = 2700\n")
	fmt.Fprintf(&b, "[platform]\naddress = \"%s:%d\"\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000\ntxnMs = 8.0\npartitionWritesS = 150\n", w.storeSeenBy(h.index), storePort)
	fmt.Fprintf(&b, "maxRowBytes = %d\ncrossShard = false\nhistoryS = 20\nmaxBlobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0\n", maxRowBytes)
	return b.String()
}

// start starts the process of a host with the command of the deploy file.
func (w *world) start(h *host) error {
	path := filepath.Join(w.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(h)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	command, err := deployCommand()
	if err != nil {
		return err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PRIMROSESPAR_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	w.note("host   %s started", h.name)
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		err := cmd.Wait()
		if w.isClosed() {
			return
		}
		w.note("host   %s ended: %v", h.name, err)
		time.Sleep(restartDelay)
		if !w.isClosed() {
			_ = w.start(h)
		}
	}()
	return nil
}

// deployCommand returns the command of the role in the deploy file.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no role")
}

// signal sends a signal to the process of a host.
func (w *world) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.mu.Lock()
		h.stopped = true
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
		}
		h.mu.Unlock()
	}
	w.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	_ = w.record.Close()
}

func (w *world) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// ready reports whether the host answers its readiness check with 200.
func (w *world) ready(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready and one leads.
func (w *world) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		n := 0
		for _, h := range w.hosts {
			if w.ready(h) {
				n++
			}
		}
		if n == len(w.hosts) && w.leader() != nil {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// leader returns the host that the lease row names, or nil.
func (w *world) leader() *host {
	row := w.store.find("fleet_lease")
	for _, h := range w.hosts {
		if bytes.Contains(row, []byte(h.name)) {
			return h
		}
	}
	return nil
}
