package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// front is one process of the project, started with the command of the deploy file on its own free ports.
type front struct {
	name    string
	zone    string
	address string
	ready   string
	control string
	metrics int
	file    string
	logs    string
	fields  map[string]any
	command *exec.Cmd
	ended   chan struct{}
	hasGone atomic.Bool
	endings atomic.Int64
}

// newFronts prepares processes that know each other's control addresses as seeds.
func newFronts(st *store, zones ...string) []*front {
	list, seeds := []*front{}, []string{}
	for at, zone := range zones {
		ports := freePorts(6)
		fr := &front{
			name: fmt.Sprintf("front-%s-%d", zone, at+1), zone: zone, address: local(ports[0]), ready: local(ports[1]), control: local(ports[2]), metrics: ports[3],
		}
		fr.file, fr.logs = filepath.Join(world.folder, fr.name+".json"), filepath.Join(world.folder, fr.name+".log")
		list = append(list, fr)
		if len(seeds) < 3 {
			seeds = append(seeds, fr.control)
		}
	}
	named := map[string]string{}
	for _, zone := range zones {
		named[zone] = "region-1"
	}
	for _, fr := range list {
		fr.fields = map[string]any{
			"node_name": fr.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
			"zone": fr.zone, "region": "region-1", "zones": named,
			"listen":      map[string]string{"front": fr.address, "ready": fr.ready, "control": fr.control},
			"inner_ports": []int{fr.metrics, fr.metrics + 1}, "seeds": seeds, "bootstrap": true, "loss_counts": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
			"tolerate":  map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
				"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000, "revoke_strict": false,
				"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 56, "recover_s": 12,
				"event_delay_ms": 120, "reuse_window_s": 9.4,
			},
			"platform": map[string]any{
				"address": st.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
				"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
			},
		}
	}
	return list
}

func local(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

const (
	// firstPort and portCount are a range below the ports that outgoing connections get, so that none of them takes the port of a process that is
	// down for a moment.
	firstPort = 15000
	portCount = 15000
)

// freePorts returns ports on which nothing listens.
func freePorts(count int) []int {
	ports := []int{}
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		listener, err := net.Listen("tcp", local(port))
		if err != nil || slices.Contains(ports, port) {
			continue
		}
		_ = listener.Close()
		if ports = append(ports, port); len(ports) == count {
			return ports
		}
	}
	cannotRun("no free ports")
	return nil
}

// start starts the process.
func (fr *front) start() {
	text, err := json.MarshalIndent(fr.fields, "", " ")
	if err == nil {
		err = os.WriteFile(fr.file, text, 0o600)
	}
	if err != nil {
		cannotRun("write the settings: %v", err)
	}
	// Only the first start is one of the whole system for the first time.
	fr.fields["bootstrap"] = false
	output, err := os.OpenFile(fr.logs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		cannotRun("open a log: %v", err)
	}
	defer output.Close()
	fr.command = exec.Command("target/turmericdoor", "front", "--metrics-port", strconv.Itoa(fr.metrics))
	fr.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICDOOR_NODE_FILE=" + fr.file}
	fr.command.Stdout, fr.command.Stderr = output, output
	if err := fr.command.Start(); err != nil {
		cannotRun("start %s: %v", fr.name, err)
	}
	world.mu.Lock()
	world.processes = append(world.processes, fr.command)
	world.mu.Unlock()
	fr.hasGone.Store(false)
	fr.ended = make(chan struct{})
	note("%s started, clients at %s", fr.name, fr.address)
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		fr.hasGone.Store(true)
		fr.endings.Add(1)
		words := ""
		if command.ProcessState.ExitCode() > 0 {
			words = lastWords(fr.logs)
		}
		note("%s ended: %s%s", fr.name, command.ProcessState, words)
		close(ended)
	}(fr.command, fr.ended)
}

// isReady asks as the platform does.
func (fr *front) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + fr.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts the processes and waits until all are ready and have settled.
func startAll(list []*front, settle time.Duration) {
	for _, fr := range list {
		fr.start()
	}
	for _, fr := range list {
		until := time.Now().Add(15 * time.Second)
		for !fr.isReady() {
			if time.Now().After(until) {
				logs, _ := os.ReadFile(fr.logs)
				note("%s", logs)
				cannotRun("%s is not ready", fr.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settle)
	note("all processes are ready")
}

const (
	// mostWords bounds the lines of a panic in the record, and mostLine their length.
	mostWords = 6
	mostLine  = 110
)

// lastWords returns why a process panicked, from its log, or nothing.
func lastWords(path string) string {
	text, _ := os.ReadFile(path)
	at := bytes.LastIndex(text, []byte("\npanic: "))
	if fatal := bytes.LastIndex(text, []byte("\nfatal error: ")); at < 0 {
		at = fatal
	}
	if at < 0 {
		return ""
	}
	words := []string{}
	for line := range strings.SplitSeq(strings.TrimSpace(string(text[at:])), "\n") {
		if !strings.HasPrefix(line, "\t") && len(words) < mostWords {
			words = append(words, "    "+line[:min(len(line), mostLine)])
		}
	}
	return "; its log says:\n" + strings.Join(words, "\n")
}

// keepRunning starts the process again after each end, as the platform does.
func (fr *front) keepRunning(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-fr.ended:
		}
		time.Sleep(restartDelay)
		if ctx.Err() == nil {
			fr.start()
		}
	}
}

// ends returns how often the process has ended.
func (fr *front) ends() int {
	return int(fr.endings.Load())
}
