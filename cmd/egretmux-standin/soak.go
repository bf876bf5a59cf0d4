package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/egretmux/egretmux/internal/standin"
)

// linkCommand runs a TCP proxy with faults triggered by signals: SIGUSR1 silences
// the open connections, SIGUSR2 cuts them.
type linkCommand struct {
	Listen string `long:"listen" required:"yes"`
	To     string `long:"to" required:"yes"`
}

// Execute implements flags.Commander.
func (c *linkCommand) Execute([]string) error {
	forwarder := standin.NewForwarder(c.To)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for sig := range signals {
			if sig == syscall.SIGUSR1 {
				fmt.Printf("silenced %d\n", forwarder.Silence())
			} else {
				fmt.Printf("cut %d\n", forwarder.Cut())
			}
		}
	}()
	return forwarder.Run(signalContext(), c.Listen)
}

// loadCommand sends requests and submits tasks for several customers.
type loadCommand struct {
	common
	Controls  string        `long:"controls" description:"control addresses, in the order of --instances" required:"yes"`
	Customers []string      `long:"customer" description:"NAME:TOKEN:SERVICE" required:"yes"`
	Rate      int           `long:"rate" default:"200" description:"requests a second"`
	TaskRate  float64       `long:"task-rate" default:"5" description:"tasks a second"`
	Length    time.Duration `long:"length" default:"30s"`
	Patience  time.Duration `long:"patience" default:"60s"`
	Seed      uint64        `long:"seed" default:"1"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	var customers []standin.Customer
	for _, customer := range c.Customers {
		parts := strings.Split(customer, ":")
		if len(parts) != 3 {
			return errors.Newf("--customer %s is not NAME:TOKEN:SERVICE", customer)
		}
		customers = append(customers, standin.Customer{Name: parts[0], Token: parts[1], Service: parts[2]})
	}
	const maxInFlight = 512
	controls := strings.Split(c.Controls, ",")
	requests := standin.NewLoad(standin.LoadConfig{
		Instances: c.instances(), ReadinessAddresses: controls, Customers: customers, Rate: c.Rate,
		Length: c.Length, MaxInFlight: maxInFlight, Seed: c.Seed, Journal: journal,
	})
	tasks := standin.NewSubmitter(standin.SubmitterConfig{
		Instances: controls, Customers: customers, Rate: c.TaskRate, Length: c.Length, DrainTimeout: c.Patience,
		Seed: c.Seed, Journal: journal,
	})
	var wg sync.WaitGroup
	ctx := signalContext()
	wg.Go(func() { requests.Run(ctx) })
	wg.Go(func() { tasks.Run(context.WithoutCancel(ctx)) })
	wg.Wait()
	return nil
}

// checkCommand compares journals and prints a summary and the first violations.
type checkCommand struct {
	Args struct {
		Journals []string `positional-arg-name:"JOURNAL" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	check, err := standin.ReadJournals(c.Args.Journals)
	if err != nil {
		return err
	}
	violations := check.Run()
	fmt.Printf("whole=%d not_run=%d unknown=%d cut_by_kill=%d unsent=%d never_known=%d tasks=%d attempts=%d broken=%d\n",
		check.Whole, check.NotRun, check.Unknown, check.Cut, check.Unsent, check.Unresolved, check.Tasks, check.Attempts, len(violations))
	fmt.Println("refusals:", check.Refusals)
	const maxShown = 20
	for i, violation := range violations {
		if i == maxShown {
			fmt.Printf("and %d more\n", len(violations)-maxShown)
			break
		}
		fmt.Println(violation)
	}
	if len(violations) > 0 {
		return errors.New("a guarantee was violated")
	}
	return nil
}

// noteCommand appends an entry to a journal.
type noteCommand struct {
	Journal  string `long:"journal" required:"yes"`
	What     string `long:"what" required:"yes"`
	Who      string `long:"who"`
	Instance string `long:"instance"`
}

// Execute implements flags.Commander.
func (c *noteCommand) Execute([]string) error {
	journal, err := standin.OpenJournal(c.Journal)
	if err != nil {
		return err
	}
	journal.Write(standin.JournalEntry{What: c.What, Who: c.Who, Instance: c.Instance})
	return nil
}
