// Package rig runs cases of the second review: a small deployment of the project's processes on loopback addresses, with stand-ins for the
// platform's store and for endpoints.
package rig

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Rig is a deployment under test.
type Rig struct {
	Store *Store
	// Trouble is unset if the case runs without its disruption.
	Trouble bool

	dir     string
	storeAt string
	ports   ports

	mu     sync.Mutex
	start  time.Time
	record *os.File
	nodes  []*Node
}

// ports are the ports of all machines.
type ports struct{ inbound, outbound, ready, app int }

// New returns a rig that writes what happens to record.txt in the folder of the case.
func New(folder string) (*Rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	if r.storeAt, err = r.Store.Listen(); err != nil {
		return nil, err
	}
	for _, p := range []*int{&r.ports.inbound, &r.ports.outbound, &r.ports.ready, &r.ports.app} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// freePort returns a port that is free on the machines' addresses, which only this rig uses.
func freePort() (int, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// Logf writes a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Node is one machine: a process of the project and, if it has an endpoint, that.
type Node struct {
	Name, IP, Zone, Service string
	Cmd                     *exec.Cmd
	Endpoint                *Endpoint
	rig                     *Rig
	output                  *os.File
	settings                string
	exited                  chan struct{}
}

// Machine describes a machine of the rig.
type Machine struct {
	Name, IP, Zone, Service string
}

// Zones are the failure domains of the rig with their regions.
var Zones = map[string]string{"zone-a": "west", "zone-b": "west"}

// Outbound returns the address to which the callers of a node send.
func (n *Node) Outbound() string { return fmt.Sprintf("%s:%d", n.IP, n.rig.ports.outbound) }

// App returns the address of the endpoint of a node.
func (n *Node) App() string { return fmt.Sprintf("%s:%d", n.IP, n.rig.ports.app) }

// AddMachine writes the settings of a machine. Start starts its process.
func (r *Rig) AddMachine(m Machine) (*Node, error) {
	n := &Node{Name: m.Name, IP: m.IP, Zone: m.Zone, Service: m.Service, rig: r, settings: filepath.Join(r.dir, m.Name+".json")}
	r.nodes = append(r.nodes, n)
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }
	settings, err := fill(wire.Settings, map[string]any{
		"NAME": m.Name, "IP": m.IP, "ZONE": m.Zone, "REGION": Zones[m.Zone], "APP": at(r.ports.app), "SERVICE": m.Service,
		"INBOUND": at(r.ports.inbound), "OUTBOUND": at(r.ports.outbound), "READY": at(r.ports.ready), "ZONES": Zones, "STORE": r.storeAt,
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, settings, 0o600)
}

// Start starts the process of a node with the command of the deploy file.
func (n *Node) Start() error {
	output, err := os.OpenFile(filepath.Join(n.rig.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.output = output
	n.Cmd = exec.Command("target/chervilwellnode", "run", "-metrics", "7615")
	n.Cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + n.settings}
	n.Cmd.Stdout, n.Cmd.Stderr = output, output
	if err := n.Cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		n.rig.Logf("%s: process %d ended: %v", n.Name, cmd.Process.Pid, err)
		close(exited)
	}(n.Cmd, n.exited)
	n.rig.Logf("%s: process %d started", n.Name, n.Cmd.Process.Pid)
	return nil
}

// Ready reports whether the process says that it is ready.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", n.IP, n.rig.ports.ready, wire.ReadyPath))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func (r *Rig) AwaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.nodes {
			if n.Cmd != nil && n.Ready() {
				ready++
			}
		}
		if ready == len(r.nodes) {
			return nil
		}
	}
	return fmt.Errorf("the processes are not ready")
}

// Metric returns the value of a metric of a node, or -1.
func (n *Node) Metric(name string) float64 {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:7615/metrics", n.IP))
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			var v float64
			if _, err := fmt.Sscan(rest, &v); err == nil {
				return v
			}
		}
	}
	return -1
}

// LogLines copies the lines of a node's output that contain one of the words to the record, at most the given number.
func (n *Node) LogLines(most int, words ...string) {
	data, _ := os.ReadFile(filepath.Join(n.rig.dir, n.Name+".log"))
	for line := range bytes.Lines(data) {
		for _, word := range words {
			if most > 0 && bytes.Contains(line, []byte(word)) {
				n.rig.Logf("%s wrote: %s", n.Name, bytes.TrimSpace(line))
				most--
				break
			}
		}
	}
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, n := range r.nodes {
		if n.Cmd != nil && n.Cmd.Process != nil {
			_ = n.Cmd.Process.Kill()
			<-n.exited
			n.output.Close()
		}
	}
	for _, n := range r.nodes {
		if n.Endpoint != nil {
			n.Endpoint.Crash()
		}
	}
	r.record.Close()
	os.RemoveAll(r.dir)
}

// Main runs a case and exits with its code.
func Main(run func(*Rig) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER, in the root of the repository")
		os.Exit(NotRun)
	}
	r, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		r.Logf("stopped by a signal")
		r.Close()
		os.Exit(NotRun)
	}()
	broken, err := run(r)
	code := Held
	switch {
	case err != nil:
		r.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = NotRun
	case broken:
		r.Logf("the rule was broken")
		code = Broken
	default:
		r.Logf("the rule held")
	}
	r.Close()
	os.Exit(code)
}
