// Package queries holds the commands of parsleyctl that only read.
package queries

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
)

const (
	flagFile    = "file"
	flagFrom    = "from"
	flagHistory = "history"
	flagHTML    = "html"
)

// All returns the commands that only read.
func All() []*cli.Command {
	return []*cli.Command{
		{Name: "get", Usage: "list resources with their status", ArgsUsage: "[KIND [NAME]]", Action: getResources},
		{Name: "describe", Usage: "show all that is known of a resource", ArgsUsage: "KIND NAME", Action: describeResource},
		{
			Name: "watch", Usage: "follow changes of resources",
			Flags: []cli.Flag{
				&cli.Int64Flag{Name: flagFrom, Sources: session.EnvVar(flagFrom), Value: -1, Usage: "resume after this offset; -1 starts with the whole list"},
			},
			Action: watchResources,
		},
		{
			Name: "diff", Usage: "compare manifests with the declared resources",
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: flagFile, Aliases: []string{"f"}, Sources: session.EnvVar(flagFile), Usage: "manifest, or - for standard input; may be repeated"},
			},
			Action: diffManifests,
		},
		configCommand(),
		{Name: "status", Usage: "show hosts, offsets, leases and witness sets", Action: showStatus},
		{Name: "timeline", Usage: "show the events of all hosts in order", Flags: timelineFlags(), Action: showTimeline},
		{
			Name: "ownership", Usage: "show who owns a key", ArgsUsage: "SERVICE KEY",
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: flagHistory, Sources: session.EnvVar(flagHistory), Usage: "also show who owned it when, and why it moved"},
			},
			Action: showOwnership,
		},
	}
}

func getResources(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	args, err := session.PositionalArgs(cmd, 0, 2)
	if err != nil {
		return err
	}
	if len(args) == 2 {
		r, err := fetchResource(ctx, s, args)
		if err != nil {
			return err
		}
		return s.Print(r, func(w io.Writer) { writeResourceTable(w, []operatorapi.Resource{r}) })
	}
	path := "/v1/resources"
	if len(args) == 1 {
		kind, err := session.ParseKind(args[0])
		if err != nil {
			return err
		}
		path += "/" + string(kind)
	}
	var list operatorapi.List
	if err := s.Client.Get(ctx, path, &list); err != nil {
		return err
	}
	return s.Print(list, func(w io.Writer) { writeResourceTable(w, list.Resources) })
}

func fetchResource(ctx context.Context, s *session.Session, args []string) (r operatorapi.Resource, err error) {
	kind, err := session.ParseKind(args[0])
	if err != nil {
		return r, err
	}
	return r, s.Client.Get(ctx, session.ResourcePath(kind, args[1]), &r)
}

func writeResourceTable(w io.Writer, list []operatorapi.Resource) {
	session.WriteRow(w, "KIND", "NAME", "VERSION", "IN FORCE", "BEHIND", "NOT KNOWN", "STATE", "CLAIMS", "OWNED", "SERVING", "HOME")
	for _, r := range list {
		cells := []any{r.Kind, r.Metadata.Name, r.Metadata.Version}
		if r.Status != nil {
			cells = append(cells, len(r.Status.InForce), len(r.Status.Behind), silentHostNames(r.Status.NotKnown))
			if server := r.Status.Server; server != nil {
				cells = append(cells, server.State, orDash(server.ClaimedHealth), server.SlicesOwned, server.SlicesServing, orDash(server.Home))
			}
		}
		session.WriteRow(w, cells...)
	}
}

func silentHostNames(list []operatorapi.SilentHost) string {
	if len(list) == 0 {
		return "-"
	}
	names := make([]string, len(list))
	for i, h := range list {
		names[i] = h.Host
	}
	return strings.Join(names, ",")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatUnixMillis formats a time in Unix milliseconds as UTC; 0 is shown as "-".
func formatUnixMillis(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// writeSilentHosts writes one row for each host that did not respond.
func writeSilentHosts(w io.Writer, list []operatorapi.SilentHost) {
	for _, h := range list {
		session.WriteRow(w, "not known:", h.Host, "zone "+h.Zone, "since "+formatUnixMillis(h.SinceMS), h.Problem)
	}
}

// describeResource prints YAML instead of a table, since a description has no columns.
func describeResource(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	args, err := session.PositionalArgs(cmd, 2, 2)
	if err != nil {
		return err
	}
	r, err := fetchResource(ctx, s, args)
	if err != nil {
		return err
	}
	if s.OutputFormat == session.FormatTable {
		s.OutputFormat = session.FormatYAML
	}
	return s.Print(r, nil)
}

func watchResources(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	return s.Client.Watch(ctx, cmd.Int64(flagFrom), func(e operatorapi.WatchEvent) error {
		if s.OutputFormat == session.FormatTable {
			return writeWatchEvent(s.Out, e)
		}
		if s.OutputFormat == session.FormatYAML {
			fmt.Fprintln(s.Out, "---")
		}
		return s.Print(e, nil)
	})
}

// writeWatchEvent writes an event with columns of fixed width, since later events
// are not known and the columns cannot be aligned to them.
func writeWatchEvent(w io.Writer, e operatorapi.WatchEvent) error {
	writeLine := func(kind, name string) error {
		_, err := fmt.Fprintf(w, "%-9d %-7s %-8s %s\n", e.Offset, e.Type, kind, name)
		return err
	}
	switch {
	case e.Type == operatorapi.WatchProgress:
		return nil
	case e.Type == operatorapi.WatchResync:
		if err := writeLine("", e.Reason); err != nil {
			return err
		}
		for _, r := range e.Resources {
			if _, err := fmt.Fprintf(w, "%-9d %-7s %-8s %s\n", r.Metadata.Version, "listed", r.Kind, r.Metadata.Name); err != nil {
				return err
			}
		}
		return nil
	case e.Resource != nil:
		return writeLine(e.Resource.Kind, e.Resource.Metadata.Name)
	}
	return writeLine("", "")
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	var st operatorapi.Status
	if err := s.Client.Get(ctx, "/v1/status", &st); err != nil {
		return err
	}
	return s.Print(st, func(w io.Writer) { writeStatusTable(w, st) })
}

func writeStatusTable(w io.Writer, st operatorapi.Status) {
	session.WriteRow(w, "HOST", "ZONE", "APPLIED", "COMPLETE", "LEASE", "LOG", "DRAINING", "SERVERS", "JOINED AT")
	for _, h := range st.Hosts {
		session.WriteRow(w, h.Host, h.Zone, h.Applied, yesNo(h.Complete), yesNo(h.LeaseValid), yesNo(h.LogReachable), yesNo(h.Draining), h.Servers, h.JoinedAt)
	}
	writeSilentHosts(w, st.NotKnown)
	session.WriteRow(w)
	session.WriteRow(w, "WITNESSES OF", "EPOCH", "CURRENT", "PENDING")
	for _, set := range st.WitnessSets {
		session.WriteRow(w, set.Scope, set.Epoch, strings.Join(set.Current, ","), orDash(strings.Join(set.Pending, ",")))
	}
	session.WriteRow(w)
	session.WriteRow(w, "as seen by "+st.Host+" at offset "+strconv.FormatUint(st.Applied, 10))
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func showOwnership(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	args, err := session.PositionalArgs(cmd, 2, 2)
	if err != nil {
		return err
	}
	path := "/v1/ownership/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
	if !cmd.Bool(flagHistory) {
		var o operatorapi.Ownership
		if err := s.Client.Get(ctx, path, &o); err != nil {
			return err
		}
		return s.Print(o, func(w io.Writer) { writeOwnerTable(w, o) })
	}
	var h operatorapi.OwnershipHistory
	if err := s.Client.Get(ctx, path+"/history", &h); err != nil {
		return err
	}
	return s.Print(h, func(w io.Writer) {
		writeOwnerTable(w, h.Current)
		session.WriteRow(w)
		session.WriteRow(w, "FROM", "SERVING", "UNTIL", "OWNER", "GENERATION", "REASON")
		for _, period := range h.Periods {
			session.WriteRow(w, formatUnixMillis(period.FromMS), formatUnixMillis(period.ServingMS), formatUnixMillis(period.UntilMS), orDash(period.Owner), period.Generation, period.Reason)
		}
		writeIncompleteness(w, h.Completeness)
	})
}

func writeOwnerTable(w io.Writer, o operatorapi.Ownership) {
	session.WriteRow(w, "OWNER", "HOME", "TERM", "SLICE", "GENERATION", "DURABLE", "KEY HASH")
	session.WriteRow(w, o.Owner, orDash(o.Home), o.Term, o.Slice, o.Generation, yesNo(o.Durable), o.KeyHash)
}

// writeIncompleteness writes why a list of events may be incomplete: hosts without
// a response, overwritten events and truncated results.
func writeIncompleteness(w io.Writer, c operatorapi.Completeness) {
	writeSilentHosts(w, c.NotKnown)
	for _, host := range sortedKeys(c.Overwritten) {
		session.WriteRow(w, "lost:", host, fmt.Sprintf("%d older events were overwritten", c.Overwritten[host]))
	}
	for _, host := range c.Truncated {
		session.WriteRow(w, "truncated:", host, "has more events that match; narrow the filter")
	}
}

func sortedKeys(m map[string]uint64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// errDiffArguments reports that diff was called without manifests or with
// arguments.
var errDiffArguments = exit.Errorf(exit.BadInput, "diff needs --file and no arguments")
