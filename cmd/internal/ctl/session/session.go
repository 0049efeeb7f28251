// Package session holds the settings that all commands of parsleyctl share.
package session

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/client"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/relay/responsecheck"
)

// Names of the shared flags.
const (
	flagEntryHosts      = "entry-hosts"
	flagToken           = "operator-token"
	flagTimeout         = "timeout"
	flagSettleTimeout   = "settle-timeout"
	flagOutput          = "output"
	flagCAFile          = "ca-file"
	flagCertificateFile = "certificate-file"
	flagKeyFile         = "key-file"
)

// EnvVar returns the environment variable that sets a flag.
func EnvVar(flag string) cli.ValueSourceChain {
	return cli.EnvVars("PARSLEYRELAY_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// Flags returns the flags that all commands share.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagEntryHosts, Sources: EnvVar(flagEntryHosts), Usage: "operator URLs of entry hosts, tried in order"},
		&cli.StringFlag{Name: flagToken, Sources: EnvVar(flagToken), HideDefault: true, Usage: "bearer token"},
		&cli.DurationFlag{Name: flagTimeout, Sources: EnvVar(flagTimeout), Value: 10 * time.Second, Usage: "bound of each attempt at one host"},
		&cli.DurationFlag{Name: flagSettleTimeout, Sources: EnvVar(flagSettleTimeout), Value: 30 * time.Second, Usage: "bound for settling a change whose response was lost"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Sources: EnvVar(flagOutput), Value: FormatTable, Usage: "table, json or yaml"},
		&cli.StringFlag{Name: flagCAFile, Sources: EnvVar(flagCAFile), Usage: "PEM file with the authorities of entry hosts"},
		&cli.StringFlag{Name: flagCertificateFile, Sources: EnvVar(flagCertificateFile), Usage: "PEM file with the client certificate"},
		&cli.StringFlag{Name: flagKeyFile, Sources: EnvVar(flagKeyFile), Usage: "PEM file with the client key"},
	}
}

// Session holds the API client, the output format and the streams of one run of
// parsleyctl.
type Session struct {
	Client       *client.Client
	OutputFormat string // FormatTable, FormatJSON or FormatYAML
	In           io.Reader
	Out          io.Writer
	ErrOut       io.Writer
}

// New reads the shared flags. Its error lists all invalid flags.
func New(cmd *cli.Command) (*Session, error) {
	var findings finding.List
	root := cmd.Root()
	s := &Session{OutputFormat: cmd.String(flagOutput), In: root.Reader, Out: root.Writer, ErrOut: root.ErrWriter}
	s.checkOutputFormat(&findings)
	for _, name := range []string{flagTimeout, flagSettleTimeout} {
		if cmd.Duration(name) <= 0 {
			findings.Add("--"+name, "%v is not positive", cmd.Duration(name))
		}
	}
	hosts := ParseURLs(cmd, flagEntryHosts, &findings)
	tlsConfig := readTLSConfig(cmd, &findings)
	if len(findings) > 0 {
		return nil, exit.FindingsError(findings)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = tlsConfig
	s.Client = client.New(client.Config{
		Hosts: hosts, Token: cmd.String(flagToken), AttemptTimeout: cmd.Duration(flagTimeout),
		SettleTimeout: cmd.Duration(flagSettleTimeout), HTTPClient: &http.Client{Transport: responsecheck.Transport{RoundTripper: responsecheck.SetDialers(transport)}},
	})
	return s, nil
}

// HasHosts reports whether the flag of the entry hosts is set.
func HasHosts(cmd *cli.Command) bool { return len(cmd.StringSlice(flagEntryHosts)) > 0 }

// NewLocal is New for a command that calls no host; Session.Client is nil.
func NewLocal(cmd *cli.Command) (*Session, error) {
	root := cmd.Root()
	s := &Session{OutputFormat: cmd.String(flagOutput), In: root.Reader, Out: root.Writer, ErrOut: root.ErrWriter}
	var findings finding.List
	s.checkOutputFormat(&findings)
	return s, exit.FindingsError(findings)
}

func (s *Session) checkOutputFormat(findings *finding.List) {
	if !slices.Contains([]string{FormatTable, FormatJSON, FormatYAML}, s.OutputFormat) {
		findings.Add("--"+flagOutput, "%q is none of table, json and yaml", s.OutputFormat)
	}
}

// ParseURLs reads the URLs in a flag, which must be http or https and default to
// http. Problems are added to findings.
func ParseURLs(cmd *cli.Command, flag string, findings *finding.List) []string {
	var hosts []string
	for _, host := range cmd.StringSlice(flag) {
		host = strings.TrimRight(strings.TrimSpace(host), "/")
		if !strings.Contains(host, "://") {
			host = "http://" + host
		}
		u, err := url.Parse(host)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			findings.Add("--"+flag, "%q is not an http or https URL", host)
			continue
		}
		hosts = append(hosts, host)
	}
	if len(cmd.StringSlice(flag)) == 0 {
		findings.Add("--"+flag, "at least one URL is required")
	}
	return hosts
}

func readTLSConfig(cmd *cli.Command, findings *finding.List) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if file := cmd.String(flagCAFile); file != "" {
		data, err := os.ReadFile(file)
		config.RootCAs = x509.NewCertPool()
		if err != nil {
			findings.Add("--"+flagCAFile, "%v", err)
		} else if !config.RootCAs.AppendCertsFromPEM(data) {
			findings.Add("--"+flagCAFile, "%s holds no certificate", file)
		}
	}
	cert, key := cmd.String(flagCertificateFile), cmd.String(flagKeyFile)
	if cert == "" && key == "" {
		return config
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		findings.Add("--"+flagCertificateFile+", --"+flagKeyFile, "%v", err)
	}
	config.Certificates = []tls.Certificate{pair}
	return config
}

// ParseKind returns the resource kind that arg names, ignoring case.
func ParseKind(arg string) (resource.Kind, error) {
	for _, kind := range resource.Kinds {
		if strings.EqualFold(arg, string(kind)) {
			return kind, nil
		}
	}
	return "", exit.Errorf(exit.BadInput, "%q is not a kind; known kinds are %v", arg, resource.Kinds)
}

// PositionalArgs returns the arguments of a command without its flags. It fails
// if there are fewer than min or more than max.
func PositionalArgs(cmd *cli.Command, min, max int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < min || len(args) > max {
		return nil, exit.Errorf(exit.BadInput, "%s needs the arguments %s", cmd.Name, cmd.ArgsUsage)
	}
	return args, nil
}

// ResourcePath returns the path of a resource in the API.
func ResourcePath(kind resource.Kind, name string) string {
	return "/v1/resources/" + string(kind) + "/" + url.PathEscape(name)
}

// DeclaredResources reads all resources that are currently declared.
func (s *Session) DeclaredResources(ctx context.Context) (map[resource.Key]operatorapi.Resource, error) {
	var list operatorapi.List
	if err := s.Client.Get(ctx, "/v1/resources?status=false", &list); err != nil {
		return nil, err
	}
	declared := map[resource.Key]operatorapi.Resource{}
	for _, r := range list.Resources {
		declared[resource.Key{Kind: resource.Kind(r.Kind), Name: r.Metadata.Name}] = r
	}
	return declared, nil
}

// SpecsEqual reports whether a spec from a manifest and one from the API have the
// same JSON form.
func SpecsEqual(spec resource.Spec, existing json.RawMessage) bool {
	data, err := json.Marshal(spec)
	var manifestValue, existingValue any
	if err != nil || json.Unmarshal(data, &manifestValue) != nil || json.Unmarshal(existing, &existingValue) != nil {
		return false
	}
	return reflect.DeepEqual(manifestValue, existingValue)
}
