package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/pollenwheel/pollenwheel/standin/engine"
	"github.com/pollenwheel/pollenwheel/standin/load"
)

// loadRequestFormat is the format of the request body. Its arguments are whether the
// answer is streamed, and the number of tokens.
const loadRequestFormat = `{"model":"pattern-guide","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Which thread for Torchon?"}]}`

// loadFlags holds the flags of the load command.
type loadFlags struct {
	entryAddress string
	rate         float64
	duration     time.Duration
	connections  int
	tokenTime    time.Duration
	tokens       int
}

func addLoadFlags(cmd *kingpin.CmdClause) *loadFlags {
	f := &loadFlags{}
	cmd.Flag("entry", "Address of an entry host that serves the dev configuration.").Required().StringVar(&f.entryAddress)
	cmd.Flag("rate", "Requests a second to each path in the paced run.").Default("35").Float64Var(&f.rate)
	cmd.Flag("length", "Duration of each run.").Default("30s").DurationVar(&f.duration)
	cmd.Flag("connections", "Connections in the run without pauses.").Default("64").IntVar(&f.connections)
	cmd.Flag("token-time", "Time that the engine takes for one token.").Default("0s").DurationVar(&f.tokenTime)
	cmd.Flag("tokens", "Tokens of an answer. Answers of more than one token are streamed.").Default("1").IntVar(&f.tokens)
	return f
}

// runLoad starts a stand-in engine for the entry host, waits until the model is
// loaded, and measures the path through the entry host and the direct path.
func runLoad(ctx context.Context, f loadFlags) error {
	eng, err := engine.Start(ctx, engine.Options{
		Name: "engine-1", Service: "assist", DataCentre: "dev", Listen: "127.0.0.1:0", Hosts: []string{f.entryAddress},
		MemoryMiB: 80_000, ChecksFencing: true, LoadTime: 100 * time.Millisecond, TokenTime: f.tokenTime,
	})
	if err != nil {
		return err
	}
	defer func() { _ = eng.Close() }()
	body := fmt.Sprintf(loadRequestFormat, f.tokens > 1, f.tokens)
	direct := load.NewTarget("direct", eng.Address(), body, f.connections)
	entry := load.NewTarget("entry host", f.entryAddress, body, f.connections)
	for _, t := range []*load.Target{entry, direct} {
		if err := t.Send(ctx); err != nil {
			return err
		}
		load.RunClosedLoop(ctx, 4, time.Second, t)
	}
	fmt.Printf("paced run: %.0f requests/s to each path for %s\n", f.rate, f.duration)
	paced := load.RunPaced(ctx, f.rate, f.duration, direct, entry)
	for _, r := range paced {
		printReport(r)
	}
	for _, q := range []float64{0.5, 0.99} {
		fmt.Printf("added at p%.0f: %s\n", 100*q, paced[1].Quantile(q)-paced[0].Quantile(q))
	}
	fmt.Printf("run without pauses: %d connections for %s\n", f.connections, f.duration)
	closedLoop := []*load.Report{load.RunClosedLoop(ctx, f.connections, f.duration, direct), load.RunClosedLoop(ctx, f.connections, f.duration, entry)}
	for _, r := range closedLoop {
		printReport(r)
	}
	for _, r := range append(paced, closedLoop...) {
		if r.Failed > 0 {
			return errors.Join(fmt.Errorf("%s: %d requests failed", r.Name, r.Failed), r.LastErr)
		}
	}
	return nil
}

func printReport(r *load.Report) {
	fmt.Printf("%-10s complete %d failed %d rate %.0f/s p50 %s p99 %s max %s\n",
		r.Name, r.Completed(), r.Failed, r.Rate(), r.Quantile(0.5), r.Quantile(0.99), r.Quantile(1))
}
