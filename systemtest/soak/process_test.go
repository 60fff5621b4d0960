package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const stopTimeout = 15 * time.Second // longer than the grace period of a process

// process is one process of the system under test. It can be started again after it has ended, as the platform does.
type process struct {
	t            testing.TB
	name         string
	binary       string
	settingsFile string
	log          *os.File
	address      string // at which it takes requests; "" if clients do not use it

	mu          sync.Mutex
	command     *exec.Cmd
	done        chan struct{}
	incarnation int // number of starts so far
	startedAt   time.Time
}

func newProcess(t testing.TB, folder, binary, name string, settings any) *process {
	t.Helper()
	raw, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	logFile, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, binary: filepath.Join(binaryFolder, binary), settingsFile: file, log: logFile}
	p.start()
	t.Cleanup(p.terminate)
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "--settings", p.settingsFile)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		p.t.Errorf("%s: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait() // stop looks at the error
		close(done)
	}()
	p.command, p.done = command, done
	p.incarnation++
	p.startedAt = time.Now()
}

// signal sends a signal to the current incarnation of the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal) // fails only if the process has ended meanwhile
}

// signalIfOlder sends a signal to the current incarnation if it is at least of the given age.
func (p *process) signalIfOlder(signal syscall.Signal, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.startedAt) >= age {
		_ = p.command.Process.Signal(signal) // fails only if the process has ended meanwhile
	}
}

// stop sends the signal and waits until the process has ended. After stopTimeout it reports an error and kills the
// process.
func (p *process) stop(signal syscall.Signal) {
	p.signal(signal)
	p.mu.Lock()
	command, done := p.command, p.done
	p.mu.Unlock()
	select {
	case <-done:
		if signal == syscall.SIGTERM && !command.ProcessState.Success() {
			p.t.Errorf("planned stops: %s ended after SIGTERM with %q", p.name, command.ProcessState)
		}
	case <-time.After(stopTimeout):
		p.t.Errorf("%s did not end within %v of %v", p.name, stopTimeout, signal)
		p.signal(syscall.SIGKILL)
		<-done
	}
}

func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

func (p *process) terminate() {
	p.signal(syscall.SIGCONT)
	p.stop(syscall.SIGKILL)
	p.log.Close()
}
