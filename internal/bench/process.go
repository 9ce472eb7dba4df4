package bench

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chervilwell/chervilwell/internal/periodic"
	"github.com/chervilwell/chervilwell/origin"
)

// clockTicks is the number of clock ticks per second in which /proc reports processor time.
const clockTicks = 100

// daemonProcess is a daemon that runs as a separate process.
type daemonProcess struct {
	name     string
	inst     *origin.Instance
	operator string // address of the operator's listener
	command  *exec.Cmd
}

// usage holds the resources that a process used during a measurement: the highest resident memory in megabytes of 2^20 bytes,
// the processor time in percent of one core, and the bytes per second exchanged with other processes.
type usage struct {
	rss, cpu, bytes float64
	revision        uint64
	err             error
}

// newProcess returns the daemon of an instance, not started, and reserves its addresses.
func (f *footprint) newProcess(inst *origin.Instance) (*daemonProcess, error) {
	peers, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "reserve an address")
	}
	defer func() { _ = peers.Close() }()
	p := &daemonProcess{name: inst.Name, inst: inst}
	inst.PeerAddr = peers.LocalAddr().String()
	for _, addr := range []*string{&inst.RequestAddr, &p.operator} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "reserve an address")
		}
		defer func() { _ = listener.Close() }()
		*addr = listener.Addr().String()
	}
	return p, nil
}

// start writes the settings of the daemon and starts it.
func (p *daemonProcess) start(ctx context.Context, binary string, f *footprint) error {
	file, err := f.writeSettings(p)
	if err != nil {
		return err
	}
	p.command = exec.CommandContext(ctx, binary, "run", "-settings", file)
	p.command.Stderr = os.Stderr
	return errors.Wrap(p.command.Start(), "start the daemon")
}

// stop kills the process and waits for its end.
func (p *daemonProcess) stop() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// measure measures the process for footprintTime in the background and sends the result.
func (p *daemonProcess) measure(ctx context.Context) <-chan usage {
	out := make(chan usage, 1)
	go func() { out <- p.sample(ctx) }()
	return out
}

func (p *daemonProcess) sample(ctx context.Context) usage {
	var u usage
	cpu, err := p.processorTime()
	if err != nil {
		return usage{err: err}
	}
	before, _, err := p.counters()
	if err != nil {
		return usage{err: err}
	}
	start := time.Now()
	for time.Since(start) < footprintDuration {
		if err := periodic.Sleep(ctx, 100*time.Millisecond); err != nil {
			return usage{err: err}
		}
		rss, err := p.memory()
		if err != nil {
			return usage{err: err}
		}
		u.rss = max(u.rss, rss)
	}
	seconds := time.Since(start).Seconds()
	used, err := p.processorTime()
	if err != nil {
		return usage{err: err}
	}
	u.cpu = 100 * (used - cpu) / seconds
	after, revision, err := p.counters()
	u.bytes, u.revision, u.err = (after-before)/seconds, revision, err
	return u
}

// processorTime returns the processor time used by the process so far, in seconds.
func (p *daemonProcess) processorTime() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	// Fields are counted after the process name in parentheses: user and system time are the 12th and 13th.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, errors.Wrap(err, "user time")
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks, errors.Wrap(err, "system time")
}

// memory returns the resident memory of the process in megabytes of 2^20 bytes.
func (p *daemonProcess) memory() (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024, errors.Wrap(err, "memory")
		}
	}
	return 0, errors.New("memory: no VmRSS in the status file of the process")
}

// counters returns the bytes exchanged with other processes and the catalogue revision in force, from the metrics of the daemon.
func (p *daemonProcess) counters() (bytes float64, revision uint64, err error) {
	response, err := http.Get("http://" + p.operator + "/metrics")
	if err != nil {
		return 0, 0, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		number, parseErr := strconv.ParseFloat(value, 64)
		if !ok || parseErr != nil {
			continue
		}
		switch {
		case strings.HasPrefix(name, "chervilwell_distribution_bytes_total"):
			bytes += number
		case name == "chervilwell_distribution_catalogue_revision":
			revision = uint64(number)
		}
	}
	return bytes, revision, errors.Wrap(scanner.Err(), "metrics")
}
