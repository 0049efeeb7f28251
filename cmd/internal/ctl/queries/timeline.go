package queries

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
)

// filterFlags are passed to the API as query parameters of the same name.
var filterFlags = map[string]string{
	"service": "events of this service",
	"key":     "events that concern this key; needs --service",
	"slice":   "events of slices that overlap this range (hexadecimal, FIRST-LAST)",
	"server":  "events of this server",
	"request": "events of this request id",
	"since":   "RFC 3339 time, or a duration before now such as 10m",
	"until":   "likewise",
}

func timelineFlags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: flagHTML, Sources: session.EnvVar(flagHTML), Usage: "write a self-contained page with a lane per host to this file"},
	}
	for _, name := range []string{"service", "key", "slice", "server", "request", "since", "until"} {
		flags = append(flags, &cli.StringFlag{Name: name, Sources: session.EnvVar("timeline-" + name), Usage: filterFlags[name]})
	}
	return flags
}

func showTimeline(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	query := url.Values{}
	for name := range filterFlags {
		if value := cmd.String(name); value != "" {
			query.Set(name, value)
		}
	}
	var t operatorapi.Timeline
	if err := s.Client.Get(ctx, "/v1/timeline?"+query.Encode(), &t); err != nil {
		return err
	}
	if file := cmd.String(flagHTML); file != "" {
		return writeTimelinePage(s, file, t)
	}
	return s.Print(t, func(w io.Writer) { writeTimelineTable(w, t) })
}

func writeTimelinePage(s *session.Session, file string, t operatorapi.Timeline) error {
	f, err := os.Create(file)
	if err != nil {
		return exit.Errorf(exit.BadInput, "--%s: %w", flagHTML, err)
	}
	if err := renderTimelinePage(f, t); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%d events written to %s\n", len(t.Events), file)
	writeIncompleteness(s.ErrOut, t.Completeness)
	return nil
}

func writeTimelineTable(w io.Writer, t operatorapi.Timeline) {
	session.WriteRow(w, "TIME", "HOST", "CODE", "EVENT", "SUBJECT", "DETAIL")
	for _, e := range t.Events {
		// The upper 48 bits of the hybrid logical clock are Unix milliseconds.
		session.WriteRow(w, formatUnixMillis(int64(e.HLC>>16)), e.Host, e.Code, e.Name, eventSubject(e), e.Detail)
	}
	writeIncompleteness(w, t.Completeness)
}

// eventSubject lists what an event refers to as name=value pairs, from the service
// to the single request or peer.
func eventSubject(e operatorapi.Event) string {
	text := ""
	appendField := func(name, value string) {
		if value != "" && value != "0" {
			if text != "" {
				text += " "
			}
			text += name + "=" + value
		}
	}
	appendField("service", e.Service)
	appendField("server", e.Server)
	appendField("slice", e.Slice)
	appendField("generation", fmt.Sprint(e.Generation))
	appendField("term", fmt.Sprint(e.Term))
	appendField("offset", fmt.Sprint(e.Offset))
	appendField("request", e.RequestID)
	appendField("peer", e.Peer)
	return text
}
