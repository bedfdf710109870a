package afsoak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

// vm is a VM of the fleet: one daemon that runs as its own process.
type vm struct {
	name, ip      string
	settingsPath  string
	platformProxy *proxy // platformProxy carries the connections of the VM to the store.
	logFile       *os.File
	// onUnexpectedEnd is called if the process ends although the soak did not end it.
	onUnexpectedEnd func(state string)

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // exited is closed when the process has ended.
	// pendingRestart is the exited channel of the last process for which a restart was scheduled.
	pendingRestart chan struct{}
	// faultFreeSince is the later of the start of the process and the end of the last fault injected into the VM. It is
	// zero while a fault lasts.
	faultFreeSince time.Time
	// faultAt is when the last fault was injected into the VM.
	faultAt time.Time
	// delayEnds holds when a freeze of the process or a fault of its connections to the store ended.
	delayEnds []time.Time
	// startCount is the number of processes that were started for the VM.
	startCount int
	// wasEnded means that the soak has ended the process.
	wasEnded bool
	// halts holds when the process was killed or frozen, and when a freeze ended.
	halts []time.Time
	// isStopping is set when a planned stop is attempted and cleared when the next process starts.
	isStopping bool
}

// startProcess starts the daemon of the VM and marks the VM as fault-free from now on.
func (v *vm) startProcess(daemonPath string) error {
	cmd := exec.Command(daemonPath, "gateway")
	cmd.Env = append(os.Environ(), afplatform.SettingsVariable+"="+v.settingsPath)
	cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited, v.isStopping, v.wasEnded, v.faultFreeSince = cmd, exited, false, false, time.Now()
	v.startCount++
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // The exit status is not checked: processes are also killed on purpose.
		v.mu.Lock()
		wasEnded := v.wasEnded
		v.mu.Unlock()
		if !wasEnded {
			v.onUnexpectedEnd(cmd.ProcessState.String())
		}
		close(exited)
	}()
	return nil
}

// signalProcess sends a signal to the process of the VM if the process runs.
func (v *vm) signalProcess(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		v.wasEnded = true
	case syscall.SIGKILL:
		v.wasEnded, v.halts = true, append(v.halts, now)
	case syscall.SIGSTOP, syscall.SIGCONT:
		v.halts = append(v.halts, now)
	}
	select {
	case <-v.exited:
	default:
		_ = v.cmd.Process.Signal(s) // An error means that the process has just ended.
	}
}

// setFaulty records that a fault of the VM begins, or that it ended now.
func (v *vm) setFaulty(isFaulty bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.faultFreeSince = now
	if isFaulty {
		v.faultFreeSince, v.faultAt = time.Time{}, now
	}
}

// faultFreeTime returns the time from faultFreeSince to now, or 0 while a fault lasts.
func (v *vm) faultFreeTime(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.faultFreeSince.IsZero() {
		return 0
	}
	return now.Sub(v.faultFreeSince)
}

// hadFaultSince returns whether a fault was injected into the VM after a time.
func (v *vm) hadFaultSince(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faultAt.After(at)
}
