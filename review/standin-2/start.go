package main

import (
	"syscall"
	"time"
)

// firstStart kills a seed while the deployment starts for the first time.
func firstStart(t *trial) (bool, error) {
	f := t.fleet
	for _, n := range f.nodes() {
		if err := f.start(n); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Duration(envInt("AFTERMS")) * time.Millisecond)
	if t.trouble {
		n := f.controls[0]
		n.signal(syscall.SIGKILL)
		<-n.exited
		time.Sleep(500 * time.Millisecond)
		for _, n := range f.nodes() {
			if err := f.writeSettings(n, false); err != nil {
				return false, err
			}
		}
		if err := f.start(n); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	err := f.publish(configuration(1), 40*time.Second)
	t.say("published: %v after %v", err, time.Since(begun))
	return err != nil, nil
}
