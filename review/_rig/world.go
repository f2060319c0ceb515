package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The installation, after the sheet of a small one.
const (
	serviceName = "bascule-svc"
	queueHost   = "jobs.example"
	maxRowBytes = 65_536
	beat        = 1500 * time.Millisecond
	gangTimeout = 3 * time.Second
	holdMax     = 10 * time.Second
	stopTime    = 300 * time.Millisecond
	memoryMb    = 284
)

// runInfo is a run as the servers saw it.
type runInfo struct {
	task     string
	number   uint64
	server   *server
	id, kind string
	began    time.Time
	ended    time.Time
	how      string
}

// world is the platform, the servers and the clients of one case.
type world struct {
	dir     string
	net     byte
	began   time.Time
	store   *store
	servers []*server
	hosts   []*host
	zones   []string
	version int

	recMu  sync.Mutex
	record *os.File

	mu    sync.Mutex
	needs map[string]room // by job and step
	gangs map[string]int
	// far is the time that a call between two zones takes one way.
	far  time.Duration
	runs []*runInfo
	// restartDelay is how soon the platform starts a process that has ended.
	restartDelay time.Duration
	open         map[*taskRun]*runInfo
	quiet        bool
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	number, err := reserveNet()
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, net: number, began: time.Now(), store: newStore(), record: f, restartDelay: 2 * time.Second,
		zones: []string{"tn-charguia", "sf-thyna", "ss-sahloul"}, needs: map[string]room{}, gangs: map[string]int{}, open: map[*taskRun]*runInfo{},
	}
	return w, nil
}

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9464

// reserveNet returns the second number of loopback addresses that no other play
// uses. It keeps a listener there until the process ends.
func reserveNet() (byte, error) {
	for range 50 {
		number := byte(16 + rand.IntN(200))
		if _, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:%d", number, metricsPort)); err == nil {
			return number, nil
		}
	}
	return 0, fmt.Errorf("port %d is taken", metricsPort)
}

// rec writes a line to the record.
func (w *world) rec(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts an HTTP server on a free port of the address.
func (w *world) serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// addServers adds servers that are powered on, eight a rack; with far, a rack
// stands in one zone.
func (w *world) addServers(n int, kind string, capacity room) error {
	for range n {
		i := len(w.servers)
		s := &server{w: w, id: fmt.Sprintf("s%04x%04x", rand.IntN(1<<16), i), zone: w.zones[i%len(w.zones)], rack: fmt.Sprintf("r%d", i/8), capacity: capacity}
		if w.far > 0 {
			s.rack = "r-" + s.zone
		}
		var err error
		if s.address, err = w.serve(fmt.Sprintf("127.%d.200.1", w.net), s); err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		s.powerOn(kind)
	}
	return nil
}

// need returns what a task needs.
func (w *world) need(task string) room {
	fields := strings.Split(task, ".")
	if len(fields) != 4 {
		return room{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.needs[fields[0]+"."+fields[2]]
}

// gang returns how many tasks the gang of the task has, 0 if it is in none.
func (w *world) gang(task string) int {
	fields := strings.Split(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangs[fields[0]+"."+fields[2]]
}

// delayTo returns how long a call of the holder takes to the server, one way.
func (w *world) delayTo(s *server) time.Duration {
	h := w.holder()
	if w.far == 0 || h == nil || h.zone == s.zone {
		return 0
	}
	return w.far
}

// holder returns the host that the lease row names, nil if there is none.
func (w *world) holder() *host {
	w.store.mu.Lock()
	row := w.store.rows[[3]string{"fleet_lease", "main", "holder"}]
	w.store.mu.Unlock()
	row.Table = "fleet_lease"
	return w.writer([]storeRow{row})
}

func (w *world) runBegan(s *server, r *taskRun, from string) {
	info := &runInfo{task: r.task, number: r.number, server: s, id: s.id, kind: s.kind, began: r.began}
	w.mu.Lock()
	w.runs = append(w.runs, info)
	w.open[r] = info
	quiet := w.quiet
	w.mu.Unlock()
	if !quiet {
		w.rec("server %s starts %s run %d for %s", s, r.task, r.number, from)
	}
}

func (w *world) runEnded(s *server, r *taskRun, how string) {
	w.mu.Lock()
	info := w.open[r]
	delete(w.open, r)
	if info != nil {
		info.ended, info.how = time.Now(), how
	}
	quiet := w.quiet
	w.mu.Unlock()
	if !quiet {
		w.rec("server %s: %s run %d has ended, %s", s, r.task, r.number, how)
	}
}

// runsOf returns copies of the runs of a job.
func (w *world) runsOf(job string) []runInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []runInfo
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, *r)
		}
	}
	return out
}

// runsAt returns the runs that a server has begun.
func (w *world) runsAt(s *server) []*runInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*runInfo
	for _, r := range w.runs {
		if r.server == s {
			out = append(out, r)
		}
	}
	return out
}

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	gpu       int
}

var tenants = []tenant{{"nord", "k-nord-1", 16}, {"sud", "k-sud-1", 0}}

// configure writes a version of the configuration.
func (w *world) configure() {
	w.version++
	route := func(name string, priority int, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": queueHost, "pathPrefix": "/" + name + "/", "service": serviceName, "kind": "non_idempotent", "timeoutMs": 3000,
			"priority": priority, "maxAttempts": attempts, "slackFactor": 2.0, "targetDurationMs": 3000,
		}
	}
	var list []any
	for _, t := range tenants {
		entry := map[string]any{"name": t.name, "apiKeys": []string{t.key}}
		if t.gpu > 0 {
			entry["guaranteed"] = map[string]any{"gpu": t.gpu}
		}
		list = append(list, entry)
	}
	w.store.put("op", "config", map[string]any{
		"version": w.version, "routes": []any{route("elig", 0, 4), route("recon", 1, 4), route("recalc", 2, 4)},
		"services": []any{map[string]any{"name": serviceName, "enforcesCapacity": false}}, "tenants": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.rec("operator writes version %d of the configuration", w.version)
}

// host is a machine with a process of the system.
type host struct {
	w        *world
	name     string
	ip       string
	zone     string
	frontend string
	settings string

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	wanted  bool
	stopped bool
	// ends counts the ends of the process that nobody asked for.
	ends int
	log  *os.File
}

// addHosts adds hosts with their settings. Nothing is started.
func (w *world) addHosts(n int) error {
	storeAddress, err := w.serve(fmt.Sprintf("127.%d.210.1", w.net), w.store)
	if err != nil {
		return err
	}
	cloud, err := w.serve(fmt.Sprintf("127.%d.211.1", w.net), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/machines" {
			reply(rw, http.StatusOK, map[string]any{"machines": []any{}, "nextToken": ""})
			return
		}
		rw.WriteHeader(http.StatusBadRequest)
	}))
	if err != nil {
		return err
	}
	for i := range n {
		h := &host{w: w, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.%d.%d.1", w.net, i+1), zone: w.zones[i%len(w.zones)]}
		first, err := freePorts(h.ip, 8)
		if err != nil {
			return err
		}
		h.frontend = fmt.Sprintf("%s:%d", h.ip, first)
		h.settings = filepath.Join(w.dir, h.name+".toml")
		text := strings.Join([]string{
			fmt.Sprintf("nodeName = %q", h.name), `role = "fleet"`, `machineClass = "edge"`, `serves = ["edge"]`,
			fmt.Sprintf("ip = %q", h.ip), fmt.Sprintf("zone = %q", h.zone), `region = "region-` + h.zone + `"`,
			fmt.Sprintf("portRange = [%d, %d]", first+4, first+7), `seedNodes = []`, `bootstrap = true`, `discovery = "platform"`,
			`entryPoint = "virtual_ip"`, `heartbeatMs = 1500`,
			`contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]`,
			`orders = "invocation"`,
			"[zones]", `tn-charguia = "region-tn-charguia"`, `sf-thyna = "region-sf-thyna"`, `ss-sahloul = "region-ss-sahloul"`,
			"[listenAddrs]", fmt.Sprintf("frontend = %q", h.frontend), fmt.Sprintf("readiness = \"%s:%d\"", h.ip, first+1),
			"[limits]", "cpuQuota = 0.4", "cores = 1", fmt.Sprintf("memoryMb = %d", memoryMb), "maxFds = 4100", "linkMbps = 1000.0", "diskMb = 0",
			"[faultTolerance]", "machines = 1", "zones = 0", "regions = 0",
			"[bounds]", "seedLagS = 3", "reuseAfterS = 2", "contactMs = 4000", "ackMs = 5000", "catchUpS = 4", "drainMs = 3000", "graceS = 6",
			"lossSlackMs = 200", "configApplyMs = 3000", "rollbackSlackMs = 250", "outerMs = 6000", "revokeStrict = false", "revokeMs = 5000",
			"recoveryS = 12", fmt.Sprintf("holdMaxMs = %d", holdMax.Milliseconds()), "stopTimeoutMs = 900", "gangTimeoutMs = 3000", "cancel_ms = 3000", "visible_ms = 3000",
			"early_ms = 250", "finish_s = 14", "status_s = 120", "remoteFactor = 3", "checkpointIntervalS = 1", "restoreMs = 600", "noticeMs = 5500",
			"migrateS = 1.5", "maintenanceS = 2", "fencingEnforced = true", "leaseMs = 3000", "thawMs = 300", "pacingMs = 100", "impactMs = 4000", "reclaimMs = 3400",
			"[platform]", fmt.Sprintf("address = %q", storeAddress), `form = "table"`, "writesPerS = 600", "readsPerS = 2000", "txnMs = 8.0",
			"partitionWritesS = 150", fmt.Sprintf("maxRowBytes = %d", maxRowBytes), "crossShard = false", "historyS = 20", "maxBlobBytes = 8388608", "blobMs = 25.0", "blobMbS = 80.0",
			"[cloudApi]", fmt.Sprintf("address = %q", cloud), "ratePerS = 60.0", "duties = []", "dutyPerS = 60.0", "",
		}, "\n")
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if h.log, err = os.Create(filepath.Join(w.dir, h.name+".log")); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

// freePorts returns the first of n consecutive ports of the address that are
// free now.
func freePorts(ip string, n int) (int, error) {
	for range 50 {
		first := 20000 + rand.IntN(30000)
		var open []net.Listener
		for i := range n {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// start starts the process with the command of the deploy file. The platform
// starts it again when it ends.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	cmd := exec.Command("target/primrosespar", "fleet", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PRIMROSESPAR_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.process, h.done, h.wanted = cmd, make(chan struct{}), true
	h.w.rec("platform starts the process of %s", h.name)
	go h.watch(cmd, h.done)
	return nil
}

// watch plays the platform's part for one process: it ends one that exceeds its
// memory, and starts one again that has ended.
func (h *host) watch(cmd *exec.Cmd, done chan struct{}) {
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if mb := residentMb(cmd.Process.Pid); mb > memoryMb {
				h.w.rec("the process of %s uses %d MB of %d MB; the platform kills it", h.name, mb, memoryMb)
				_ = cmd.Process.Kill()
				return
			}
		}
	}()
	err := cmd.Wait()
	close(done)
	h.mu.Lock()
	again := h.wanted
	if again {
		h.ends++
	}
	h.mu.Unlock()
	if again {
		h.w.rec("the process of %s has ended: %v", h.name, err)
		time.Sleep(h.w.restartDelay)
		h.mu.Lock()
		again = h.wanted
		h.mu.Unlock()
		if again {
			_ = h.start()
		}
	}
}

// residentMb returns the resident memory of a process in MB.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// memory returns the resident memory of the process in MB.
func (h *host) memory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return residentMb(h.process.Process.Pid)
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig)
	}
}

// endCount returns how often the process has ended by itself.
func (h *host) endCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.wanted, h.stopped = false, true
	process, done := h.process, h.done
	h.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-done
	}
}

// startHosts starts all hosts and waits until they serve.
func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for {
			status, _ := w.call(h, "GET", "/recalc/", tenants[0].key, nil, time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve: %d", h.name, status)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.rec("all hosts serve")
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		h.stop()
		_ = h.log.Close()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// call makes one call of a client.
func (w *world) call(h *host, method, path, key string, body []byte, limit time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.frontend+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// step is a step of a job.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu,omitempty"`
	Mem        int    `json:"memMb,omitempty"`
	GPU        int    `json:"gpu,omitempty"`
	EstimateMs int    `json:"estimateMs,omitempty"`
	Label      string `json:"requiredLabel,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
}

// newID returns an ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, at one host after the other, and returns the ID, or ""
// if it was not accepted.
func (w *world) submit(queue, key, spec string, steps ...step) string {
	id := newID()
	w.mu.Lock()
	for i, s := range steps {
		w.needs[fmt.Sprintf("%s.%d", id, i)] = room{s.CPU, s.Mem, s.GPU}
		if s.Gang {
			w.gangs[fmt.Sprintf("%s.%d", id, i)] = s.Count
		}
	}
	w.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		panic(err)
	}
	shown := string(body)
	if len(shown) > 300 {
		shown = shown[:300] + "..."
	}
	for attempt := range 5 {
		h := w.hosts[(attempt+rand.IntN(len(w.hosts)))%len(w.hosts)]
		status, text := w.call(h, "POST", "/"+queue+"/"+id, key, body, 3*time.Second)
		w.rec("client: POST /%s/%s at %s, %d bytes %s -> %d %s", queue, id, h.name, len(body), shown, status, text)
		if status/100 == 2 {
			return id
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// state asks for the state of a job at one host after the other.
func (w *world) state(queue, key, id string) string {
	for attempt := range 5 {
		h := w.hosts[attempt%len(w.hosts)]
		status, text := w.call(h, "GET", "/"+queue+"/"+id, key, nil, 3*time.Second)
		w.rec("client: GET /%s/%s at %s -> %d %s", queue, id, h.name, status, text)
		if status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			return body.State
		}
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// writer returns the host whose name is in the rows of a transaction, nil if
// there is none.
func (w *world) writer(puts []storeRow) *host {
	for _, row := range puts {
		for _, h := range w.hosts {
			if row.Table == "fleet_lease" && bytes.Contains(row.Value, []byte(h.name)) {
				return h
			}
		}
	}
	return nil
}
