// Command standin runs a stand-in for the platform or for a target as a separate
// process, sets the host list of the stand-in platform, or generates load.
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

const usage = "usage: standin platform|target|hosts|load [flags]; use -h after the command to list its flags"

// readHeaderTimeout is the maximum time to read the header of a request.
const readHeaderTimeout = 5 * time.Second

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	if err := runCommand(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runCommand runs the command of the given name.
func runCommand(name string, args []string) error {
	switch name {
	case "platform":
		return runPlatform(args)
	case "target":
		return runTarget(args)
	case "hosts":
		return setHosts(args)
	case "load":
		return runLoad(args)
	}
	return fmt.Errorf("unknown command %q; %s", name, usage)
}

func runPlatform(args []string) error {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "the `address` to listen on")
	path := flags.String("declarations", "", "a `file` with the declarations that are active at the start")
	preset := flags.String("preset", string(declarer.Ordinary), "the preset that is active at the start")
	lag := flags.Duration("lag", 0, "the delay until a change of the host list becomes visible")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p := &faker.Platform{DirectoryDelay: *lag}
	if *path != "" {
		text, err := os.ReadFile(*path)
		if err != nil {
			return err
		}
		value, err := declarer.Row{Text: string(text), Preset: declarer.PresetName(*preset)}.Encode()
		if err != nil {
			return err
		}
		p.WriteRow(storer.ConfigKey, value)
	}
	return serve(*listen, p.Handler())
}

func runTarget(args []string) error {
	flags := flag.NewFlagSet("target", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7201", "the `address` to listen on")
	slots := flags.Int("slots", 8, "the maximum number of tasks that run at once")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return serve(*listen, (&faker.Target{Slots: *slots}).Handler())
}

func serve(listen string, handler http.Handler) error {
	s := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return s.ListenAndServe()
}

// setHosts sets the host list of a zone in the stand-in platform.
func setHosts(args []string) error {
	flags := flag.NewFlagSet("hosts", flag.ExitOnError)
	address := flags.String("platform", "127.0.0.1:7000", "the `address` of the platform")
	zone := flags.String("zone", "", "the zone whose host list is set")
	service := flags.String("service", "despacho", "the service of the targets")
	targets := flags.String("targets", "", "the `addresses` of the targets, separated by commas")
	entries := flags.String("entries", "", "the `addresses` of the entry hosts, separated by commas")
	leaving := flags.String("leaving", "", "the `addresses` of the leaving targets, separated by commas")
	if err := flags.Parse(args); err != nil {
		return err
	}
	d := scheduler.Directory{Zone: *zone}
	d.Hosts = append(d.Hosts, hostList(*targets, scheduler.Target, *service, *leaving)...)
	d.Hosts = append(d.Hosts, hostList(*entries, scheduler.Entry, "", "")...)
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

func hostList(addresses string, role scheduler.Role, service, leaving string) []scheduler.Host {
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
