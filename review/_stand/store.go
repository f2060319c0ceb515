package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as in the settings and pages of a small
// deployment.
const (
	storeAnswer    = 4 * time.Millisecond
	transactionDur = 8 * time.Millisecond
	maxRowBytes    = 65_536
	maxCallBytes   = 1_000_000
	maxEntries     = 100
	maxReadRows    = 500
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version uint64
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	version uint64
	txn     sync.Mutex
	started time.Time
	// onCommit is called after a transaction of a host took effect, before the
	// answer is sent.
	onCommit func(host int, puts []wirePut)
	// rejected records transactions that exceed a limit of the store.
	rejected func(host int, reason string)
}

type wireRef struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Version uint64 `json:"schemaVersion"`
}

type wirePut struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"schemaVersion"`
}

func newStore() *store {
	return &store{rows: map[rowKey]storedRow{}, started: time.Now()}
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = storedRow{data, s.version}
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, rowKey{table, "", key})
}

// find returns the first row of a table in any part.
func (s *store) find(table string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table {
			return r.value
		}
	}
	return nil
}

// view is the store as one host reaches it. translate replaces the addresses
// in values by those of the host's proxies.
type view struct {
	*store
	host      int
	translate func(table string, value []byte) []byte
}

func (v view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/rows-get":
		v.get(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/rows-tx":
		v.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (v view) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	limit := maxReadRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")
	v.mu.Lock()
	rows := []wireRow{}
	for k, row := range v.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, wireRow{k.table, k.part, k.key, row.value, row.version})
		}
	}
	version := v.version
	v.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more, size := false, 0
	for i := range rows {
		size += len(rows[i].Value) * 4 / 3
		if i >= limit || size > maxCallBytes {
			rows, more = rows[:i], true
			break
		}
		rows[i].Value = v.translate(table, rows[i].Value)
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"rows": rows, "hasMore": more, "schemaVersion": version, "nowMs": time.Since(v.started).Milliseconds(),
	})
}

func (v view) commit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req struct {
		Conditions []wireRef `json:"precondition"`
		Puts       []wirePut `json:"puts"`
		Removes    []wireRef `json:"remove"`
	}
	reason := ""
	if err := json.Unmarshal(body, &req); err != nil {
		reason = "cannot decode the call"
	}
	if len(body) > maxCallBytes {
		reason = fmt.Sprintf("call of %d bytes", len(body))
	}
	if n := len(req.Conditions) + len(req.Puts) + len(req.Removes); n > maxEntries {
		reason = fmt.Sprintf("call with %d entries", n)
	}
	for _, p := range req.Puts {
		if len(p.Value) > maxRowBytes {
			reason = fmt.Sprintf("row %s/%s of %d bytes, limit %d", p.Table, p.Key, len(p.Value), maxRowBytes)
		}
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if reason != "" {
		if v.rejected != nil {
			v.rejected(v.host, reason)
		}
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": reason})
		return
	}
	v.txn.Lock()
	time.Sleep(transactionDur)
	v.txn.Unlock()
	v.mu.Lock()
	current := []wireRow{}
	accepted := true
	for _, c := range req.Conditions {
		row := v.rows[rowKey{c.Table, c.Part, c.Key}]
		accepted = accepted && row.version == c.Version
		if row.version > 0 {
			current = append(current, wireRow{c.Table, c.Part, c.Key, row.value, row.version})
		}
	}
	if accepted {
		v.version++
		for _, p := range req.Puts {
			v.rows[rowKey{p.Table, p.Part, p.Key}] = storedRow{bytes.Clone(p.Value), v.version}
		}
		for _, d := range req.Removes {
			delete(v.rows, rowKey{d.Table, d.Part, d.Key})
		}
	}
	version := v.version
	onCommit := v.onCommit
	v.mu.Unlock()
	if !accepted {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "schemaVersion": version})
		return
	}
	if onCommit != nil {
		onCommit(v.host, req.Puts)
	}
	time.Sleep(storeAnswer)
	writeJSON(w, http.StatusOK, map[string]any{"schemaVersion": version, "nowMs": time.Since(v.started).Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
