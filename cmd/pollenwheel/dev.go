package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/node/host"
	"github.com/pollenwheel/pollenwheel/node/settings"
	"github.com/pollenwheel/pollenwheel/standin/engine"
)

const devRequest = `{"model":"pattern-guide","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Which thread for Torchon?"}]}`

// runDev runs one host and, unless bare is set, one stand-in engine. With check it
// sends a cold and a warm request and returns.
func runDev(ctx context.Context, check, bare bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	folder, err := os.MkdirTemp("", "pollenwheel-dev-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	h, err := host.New(settings.Settings{
		Host: "dev-1", DataCentre: "dev", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Control: true, DataFolder: folder, Voters: []settings.Peer{{Name: "dev-1", Address: "127.0.0.1:0"}},
	}, logrus.WithField("host", "dev-1"))
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	if _, err := h.Configure(ctx, "dev", 0, devConfiguration()); err != nil {
		return err
	}
	if bare {
		fmt.Println(h.Address())
		return <-done
	}
	eng, err := engine.Start(ctx, engine.Options{
		Name: "engine-1", Service: "assist", DataCentre: "dev", Listen: "127.0.0.1:0", Hosts: []string{h.Address()},
		MemoryMiB: 80_000, ChecksFencing: true, LoadTime: 400 * time.Millisecond, TokenTime: 10 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { _ = eng.Close() }()
	fmt.Printf("callers connect to http://%s\n\ncurl -N http://%s/v1/chat/completions -d '%s'\n\n", h.Address(), h.Address(), devRequest)
	if !check {
		return <-done
	}
	for _, kind := range []string{"cold", "warm"} {
		if err := sendDevRequest(ctx, kind, h.Address()); err != nil {
			return err
		}
	}
	return nil
}

// sendDevRequest sends one request and prints the answer. It returns an error unless
// the answer is complete.
func sendDevRequest(ctx context.Context, kind, address string) error {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(devRequest))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	fmt.Printf("%s request: status %d in %s\n%s\n", kind, resp.StatusCode, time.Since(start).Round(time.Millisecond), body)
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		return fmt.Errorf("%s request did not get a complete answer", kind)
	}
	return nil
}

func devConfiguration() config.Configuration {
	return config.Configuration{
		Deployment: config.Deployment{Name: "dev", ColdStartWeight: 1, IdleHourWeight: 1},
		Services:   []config.Service{{Name: "assist", Kind: config.KindEngine}},
		Models: []config.Model{{
			Name: "pattern-guide", Service: "assist", Version: "1", MemoryMiB: 16_000, KVMiB: 8_000, MaxReplicas: 1, QueueLimit: 100,
		}},
	}
}
