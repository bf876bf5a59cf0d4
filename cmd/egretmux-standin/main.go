// Command egretmux-standin runs stand-ins of workers, endpoints, callers and
// runners, and the tools that load runs use.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/standin"
)

// common holds the flags that most commands share.
type common struct {
	Instances string `long:"instances" description:"addresses of instances, separated by commas" required:"yes"`
	Token     string `long:"token" description:"credential"`
	Journal   string `long:"journal" description:"file to append what happens to"`
}

func (c *common) instances() []string { return strings.Split(c.Instances, ",") }

// workerCommand runs one worker.
type workerCommand struct {
	common
	ID           string `long:"id" required:"yes"`
	Address      string `long:"address" description:"IP:port to serve commands on" required:"yes"`
	Datacentre   string `long:"datacentre" required:"yes"`
	Rack         string `long:"rack" default:"r1"`
	CPUMillis    int64  `long:"cpu-millis" default:"16000"`
	MemoryMiB    int64  `long:"memory-mib" default:"65536"`
	Accelerators int64  `long:"accelerators" default:"0"`
	Slots        int32  `long:"slots" description:"slots of endpoints started by service tasks" default:"8"`
	TokenFile    string `long:"command-token-file" description:"file with the secret that commands must show; empty: none"`
}

// Execute implements flags.Commander.
func (c *workerCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	var secret []byte
	if c.TokenFile != "" {
		if secret, err = os.ReadFile(c.TokenFile); err != nil {
			return err
		}
	}
	const linksPerEndpoint = 60
	w := standin.NewWorker(standin.WorkerConfig{
		Record: &egretmuxv1.Worker{
			Id: c.ID, Address: c.Address, Datacentre: c.Datacentre, Rack: c.Rack,
			Capacity: &egretmuxv1.Resources{CpuMillis: c.CPUMillis, MemoryMib: c.MemoryMiB, Accelerators: c.Accelerators},
		},
		Announcer: standin.NewAnnouncer(c.instances(), c.Token), Journal: journal, Slots: c.Slots, Links: linksPerEndpoint,
		CommandToken: strings.TrimSpace(string(secret)),
	})
	return w.Run(signalContext())
}

// endpointCommand runs one endpoint.
type endpointCommand struct {
	common
	ID         string `long:"id" required:"yes"`
	Service    string `long:"service" required:"yes"`
	Address    string `long:"address" required:"yes"`
	Datacentre string `long:"datacentre" required:"yes"`
	Slots      int32  `long:"slots" default:"8"`
	Links      int32  `long:"links" default:"60"`
	Advertise  string `long:"advertise" description:"address to announce if it is not --address, such as that of a link proxy"`
}

// Execute implements flags.Commander.
func (c *endpointCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	e := standin.NewEndpoint(standin.EndpointConfig{
		ID: c.ID, Service: c.Service, Address: c.Address, Datacentre: c.Datacentre, Slots: c.Slots, Links: c.Links,
		Advertise: c.Advertise, Announcer: standin.NewAnnouncer(c.instances(), c.Token), Journal: journal,
	})
	return e.Run(signalContext())
}

// callerCommand sends requests at a steady rate and prints their outcomes.
type callerCommand struct {
	common
	Ready    string        `long:"ready" description:"control addresses for readiness, in the order of --instances"`
	Path     string        `long:"path" required:"yes"`
	Method   string        `long:"method" default:"GET"`
	Rate     int           `long:"rate" default:"100"`
	Length   time.Duration `long:"length" default:"5s"`
	Parallel int           `long:"parallel" default:"64"`
}

// Execute implements flags.Commander.
func (c *callerCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	cfg := standin.CallerConfig{
		Instances: c.instances(), Token: c.Token, Path: c.Path, Method: c.Method, Rate: c.Rate,
		Length: c.Length, MaxInFlight: c.Parallel, Journal: journal,
	}
	if c.Ready != "" {
		cfg.ReadinessAddresses = strings.Split(c.Ready, ",")
	}
	result := standin.NewCaller(cfg).Run(signalContext())
	fmt.Printf("sent=%d whole=%d not_run=%d unknown=%d cut=%d wrong=%d p50_us=%d p99_us=%d\n",
		result.Sent, result.Whole, result.NotRun, result.Unknown, result.Cut, result.Wrong, result.Latency.ValueAtQuantile(50), result.Latency.ValueAtQuantile(99))
	return nil
}

// signalContext returns a context that ends at SIGTERM or SIGINT.
func signalContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}

func main() {
	parser := flags.NewNamedParser("egretmux-standin", flags.Default)
	for name, command := range map[string]any{
		"worker": &workerCommand{}, "endpoint": &endpointCommand{}, "caller": &callerCommand{},
		"request": &requestCommand{}, "link": &linkCommand{}, "load": &loadCommand{}, "check": &checkCommand{}, "note": &noteCommand{},
		"fleet": &fleetCommand{}, "sample": &sampleCommand{}, "fit": &fitCommand{}, "starts": &startsCommand{}, "jobs": &jobsCommand{},
	} {
		if _, err := parser.AddCommand(name, "play a "+name, "Plays a "+name+".", command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
