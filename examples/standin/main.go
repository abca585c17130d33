// Command standin runs the stand-ins of a deployment as processes of their own.
//
//	standin platform -listen 127.0.0.1:7000 -declarations FILE -preset ordinary
//	standin target -listen 127.0.0.1:7201 -slots 8
//	standin hosts -platform 127.0.0.1:7000 -zone Z -service S -targets A,B -entries C
//	standin load -hosts http://127.0.0.1:7100 -submitters 8 -tasks 20 -run 100ms -length 10s
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/faker"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
	"github.com/shallotrouter/shallotrouter/internal/storer"
)

const usage = "usage: standin platform|target|hosts|load [flags]; -h after the word lists the flags"

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	if err := start(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// start runs the stand-in that the word names.
func start(word string, args []string) error {
	switch word {
	case "platform":
		return platform(args)
	case "target":
		return target(args)
	case "hosts":
		return hosts(args)
	case "load":
		return load(args)
	}
	return fmt.Errorf("unknown stand-in %q; %s", word, usage)
}

func platform(args []string) error {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "the `address` to open")
	path := flags.String("declarations", "", "a `file` to put in force at the start")
	preset := flags.String("preset", string(declarer.Ordinary), "the preset in force at the start")
	lag := flags.Duration("lag", 0, "how long a change of the host list stays unseen")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p := &faker.Platform{Lag: *lag}
	if *path != "" {
		text, err := os.ReadFile(*path)
		if err != nil {
			return err
		}
		value, err := declarer.Row{Text: string(text), Preset: declarer.Name(*preset)}.Encode()
		if err != nil {
			return err
		}
		p.Store(storer.Row, value)
	}
	return serve(*listen, p.Handler())
}

func target(args []string) error {
	flags := flag.NewFlagSet("target", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7201", "the `address` to open")
	slots := flags.Int("slots", 8, "the tasks that run together")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return serve(*listen, (&faker.Target{Slots: *slots}).Handler())
}

func serve(listen string, handler http.Handler) error {
	s := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}

// hosts writes one zone's list of hosts to the stand-in platform.
func hosts(args []string) error {
	flags := flag.NewFlagSet("hosts", flag.ExitOnError)
	address := flags.String("platform", "127.0.0.1:7000", "the platform's `address`")
	zone := flags.String("zone", "", "the zone whose list is written")
	service := flags.String("service", "despacho", "the service that the targets run")
	targets := flags.String("targets", "", "the targets' `addresses`, with commas")
	entries := flags.String("entries", "", "the entry hosts' `addresses`, with commas")
	leaving := flags.String("leaving", "", "the `addresses` of leaving targets, with commas")
	if err := flags.Parse(args); err != nil {
		return err
	}
	d := scheduler.Directory{Zone: *zone}
	d.Hosts = append(d.Hosts, entriesOf(*targets, scheduler.Target, *service, *leaving)...)
	d.Hosts = append(d.Hosts, entriesOf(*entries, scheduler.Entry, "", "")...)
	body, err := json.Marshal(d)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+*address+"/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func entriesOf(addresses string, role scheduler.Role, service, leaving string) []scheduler.Host {
	var list []scheduler.Host
	for address := range strings.SplitSeq(addresses, ",") {
		if address == "" {
			continue
		}
		list = append(list, scheduler.Host{
			Name: address, Role: role, Address: address, Service: service,
			Leaving: strings.Contains(","+leaving+",", ","+address+","),
		})
	}
	return list
}
