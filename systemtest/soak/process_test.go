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

const stopPatience = 15 * time.Second // beyond the grace period of a process

// process is one program of the system. It is started again when it has ended, as the platform does.
type process struct {
	t        testing.TB
	name     string
	binary   string
	settings string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	life    int // starts until now
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
	p := &process{t: t, name: name, binary: filepath.Join(binaries, binary), settings: file, log: logFile}
	p.start()
	t.Cleanup(p.end)
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "--settings", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		p.t.Errorf("%s: %v", p.name, err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // it ends by a signal
		close(ended)
	}()
	p.command, p.ended = command, ended
	p.life++
}

// signal sends a signal to the process that runs now, by its id.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal) // one that has ended meanwhile needs none
}

// stop ends the process with the signal and waits until it is gone.
func (p *process) stop(signal syscall.Signal) {
	p.signal(signal)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(stopPatience):
		p.t.Errorf("%s did not end within %v of %v", p.name, stopPatience, signal)
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

func (p *process) lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.stop(syscall.SIGKILL)
	p.log.Close()
}
