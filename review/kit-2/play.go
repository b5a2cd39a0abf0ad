package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// longestPlay ends a case that does not end by itself.
const longestPlay = 110 * time.Second

// couldNotRun is the value of the panic by which a case ends that cannot be played.
type couldNotRun struct{ reason string }

// play is one run of a case: its folder, its record and the processes that it started. It is safe for concurrent use.
type play struct {
	root      string // the repository
	dir       string // a temporary folder
	disrupted bool   // false if TROUBLE is 0
	began     time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	ports     map[int]bool // ports that have been given out
}

func newPlay(root, record string) (*play, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	p := &play{root: root, dir: dir, disrupted: os.Getenv("TROUBLE") != "0", record: file, ports: map[int]bool{}}
	p.began = time.Now()
	return p, nil
}

// run plays a case and ends all processes that it started.
func (p *play) run(scene func(*play) verdict) (result verdict) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestPlay):
		}
		p.note("verdict: the case did not end in time")
		p.cleanUp()
		os.Exit(int(notRun))
	}()
	defer p.cleanUp()
	defer func() {
		if reason := recover(); reason != nil {
			stopped, ok := reason.(couldNotRun)
			if !ok {
				p.cleanUp()
				panic(reason)
			}
			p.note("verdict: the case could not run: %s", stopped.reason)
			fmt.Fprintln(os.Stderr, stopped.reason)
			result = notRun
		}
	}()
	p.note("disruption: %v", p.disrupted)
	result = scene(p)
	p.note("verdict: %s", map[verdict]string{ruleHeld: "the rule held", ruleBroken: "the rule was broken"}[result])
	return result
}

// cleanUp kills the processes that still run and removes the temporary folder.
func (p *play) cleanUp() {
	p.mu.Lock()
	processes := p.processes
	p.processes = nil
	p.mu.Unlock()
	for _, c := range processes {
		c.kill()
	}
	os.RemoveAll(p.dir)
}

// note writes a line with the time since the start to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends a case that cannot be played.
func giveUp(format string, args ...any) { panic(couldNotRun{fmt.Sprintf(format, args...)}) }

// freeAddress returns a loopback address with a port that nobody listens on. No call returns the same port again.
func (p *play) freeAddress() string {
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			giveUp("no free port: %v", err)
		}
		listener.Close()
		port := listener.Addr().(*net.TCPAddr).Port
		if !p.ports[port] {
			p.ports[port] = true
			return listener.Addr().String()
		}
	}
	giveUp("no free port that is new")
	return ""
}

// process is a process that the case started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// start starts a program of the project, by a command as in the deploy file, from the root of the repository. Standard
// output and standard error go to onOutput line by line if it is not nil, and otherwise to a file.
func (p *play) start(name, command string, environment []string, onOutput func(line string)) *process {
	c := exec.Command("/bin/sh", "-c", "exec "+command)
	c.Dir = p.root
	c.Env = append(os.Environ(), environment...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	defer log.Close()
	c.Stderr = log
	c.Stdout = log
	if onOutput != nil {
		c.Stdout = &lineWriter{onLine: onOutput}
	}
	if err := c.Start(); err != nil {
		giveUp("start %s: %v", name, err)
	}
	started := &process{name: name, command: c, ended: make(chan struct{})}
	go func() {
		c.Wait()
		p.note("%s ended: %v", name, c.ProcessState)
		close(started.ended)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	p.note("%s started: %s", name, command)
	return started
}

// signal sends a signal to the process.
func (c *process) signal(s syscall.Signal) { c.command.Process.Signal(s) }

// kill kills the process and waits for its end.
func (c *process) kill() {
	c.signal(syscall.SIGKILL)
	<-c.ended
}

// lineWriter passes complete lines on.
type lineWriter struct {
	rest   []byte
	onLine func(string)
}

// Write implements io.Writer.
func (w *lineWriter) Write(text []byte) (int, error) {
	w.rest = append(w.rest, text...)
	for {
		end := -1
		for i, b := range w.rest {
			if b == '\n' {
				end = i
				break
			}
		}
		if end < 0 {
			return len(text), nil
		}
		w.onLine(string(w.rest[:end]))
		w.rest = w.rest[end+1:]
	}
}

// waitFor waits until a condition holds, and ends the case if it does not hold in time.
func waitFor(what string, longest time.Duration, condition func() bool) {
	for until := time.Now().Add(longest); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	giveUp("waited %v in vain: %s", longest, what)
}
