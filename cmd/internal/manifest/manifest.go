// Package manifest reads resources from YAML or JSON files, which may hold several
// documents each. All problems are reported together, as findings with file, line,
// column and path inside the resource.
package manifest

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
)

// Stdin is the file name that stands for standard input.
const Stdin = "-"

// Document is a resource and where it was declared.
type Document struct {
	Resource    resource.Resource
	file        string
	startToken  *token.Token            // first token of the document
	fieldTokens map[string]*token.Token // by path, such as "spec.slots"
}

// Location returns "file:line:column: Kind/name: path" for a path inside the
// resource. If the field is missing in the manifest, the position is that of the
// closest enclosing field, or of the document.
func (d *Document) Location(path string) string {
	nearest := d.startToken
	for field := path; field != ""; {
		if tok, ok := d.fieldTokens[field]; ok {
			nearest = tok
			break
		}
		lastDot := strings.LastIndexByte(field, '.')
		field = field[:max(lastDot, 0)]
	}
	location := formatPosition(d.file, nearest)
	if d.Resource.Spec != nil && d.Resource.Name != "" {
		location += ": " + d.Resource.Key().String()
	}
	if path != "" {
		location += ": " + path
	}
	return location
}

func formatPosition(file string, tok *token.Token) string {
	if file == Stdin {
		file = "(standard input)"
	}
	if tok == nil || tok.Position == nil {
		return file
	}
	return fmt.Sprintf("%s:%d:%d", file, tok.Position.Line, tok.Position.Column)
}

// Load reads files, and standard input for Stdin. Documents with findings are
// left out of the result, which is sorted so that a resource comes after those
// that it refers to.
func Load(files []string, stdin io.Reader) ([]*Document, finding.List) {
	var docs []*Document
	var findings finding.List
	for _, file := range files {
		data, err := readFile(file, stdin)
		if err != nil {
			findings.Add(formatPosition(file, nil), "%v", err)
			continue
		}
		docs = append(docs, Parse(file, data, &findings)...)
	}
	docs = dropDuplicates(docs, &findings)
	slices.SortStableFunc(docs, func(a, b *Document) int {
		return slices.Index(resource.Kinds, a.Resource.Spec.Kind()) - slices.Index(resource.Kinds, b.Resource.Spec.Kind())
	})
	return docs, findings
}

func readFile(file string, stdin io.Reader) ([]byte, error) {
	if file == Stdin {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

func dropDuplicates(docs []*Document, findings *finding.List) []*Document {
	first := map[resource.Key]*Document{}
	return slices.DeleteFunc(docs, func(d *Document) bool {
		other, ok := first[d.Resource.Key()]
		if ok {
			findings.Add(d.Location(""), "is declared already at %s", formatPosition(other.file, other.startToken))
			return true
		}
		first[d.Resource.Key()] = d
		return false
	})
}

// Parse reads the documents of one file.
func Parse(file string, data []byte, findings *finding.List) []*Document {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		addSyntaxFinding(file, err, findings)
		return nil
	}
	var docs []*Document
	for _, node := range tree.Docs {
		if node.Body == nil || node.Body.Type() == ast.NullType || node.Body.Type() == ast.CommentType {
			continue
		}
		p := &documentParser{doc: &Document{file: file, startToken: node.Body.GetToken(), fieldTokens: map[string]*token.Token{}}}
		p.parse(node.Body)
		if len(p.problems) == 0 {
			docs = append(docs, p.doc)
		}
		*findings = append(*findings, p.findings()...)
	}
	return docs
}

func addSyntaxFinding(file string, err error, findings *finding.List) {
	location, problem := formatPosition(file, nil), err.Error()
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		location, problem = formatPosition(file, positioned.GetToken()), positioned.GetMessage()
	}
	findings.Add(location, "%s", problem)
}

// CheckReferences reports references to resources that are neither declared in
// docs nor reported by exists. With a nil exists, only docs count.
func CheckReferences(docs []*Document, exists func(resource.Key) bool) finding.List {
	var findings finding.List
	docsByKey := map[resource.Key]*Document{}
	for _, d := range docs {
		docsByKey[d.Resource.Key()] = d
	}
	checkReference := func(d *Document, path string, kind resource.Kind, name string) {
		key := resource.Key{Kind: kind, Name: name}
		if name == "" || docsByKey[key] != nil || (exists != nil && exists(key)) {
			return
		}
		findings.Add(d.Location(path), "%s does not exist", key)
	}
	for _, d := range docs {
		switch spec := d.Resource.Spec.(type) {
		case *resource.Service:
			for i, rank := range spec.Ranks {
				checkReference(d, fmt.Sprintf("spec.ranks.%d", i), resource.KindRank, rank)
			}
		case *resource.Server:
			checkReference(d, "spec.service", resource.KindService, spec.Service)
		case *resource.Route:
			checkReference(d, "spec.service", resource.KindService, spec.Service)
			service := docsByKey[resource.Key{Kind: resource.KindService, Name: spec.Service}]
			if service == nil || spec.Rank == "" {
				continue
			}
			if !slices.Contains(service.Resource.Spec.(*resource.Service).Ranks, spec.Rank) {
				findings.Add(d.Location("spec.rank"), "Service/%s does not list rank %q", spec.Service, spec.Rank)
			}
		}
	}
	return findings
}
