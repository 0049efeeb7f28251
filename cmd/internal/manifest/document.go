package manifest

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
)

// header is the part of a document around its spec.
type header struct {
	Kind     string   `json:"kind"`
	Metadata metadata `json:"metadata"`
}

type metadata struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// documentParser reads one document. It decodes each field on its own, since
// the decoder stops at the first problem.
type documentParser struct {
	doc      *Document
	problems []problem // kept without place until the resource's name is known
	bad      []string  // paths of fields that could not be read
}

type problem struct{ path, text string }

// findings returns the problems with their places.
func (p *documentParser) findings() finding.List {
	var list finding.List
	for _, f := range p.problems {
		list.Add(p.doc.Location(f.path), "%s", f.text)
	}
	return list
}

func (p *documentParser) parse(body ast.Node) {
	fields, ok := p.fields("", body)
	if !ok {
		return
	}
	// Kind and name come first, so that all places name the resource.
	var head header
	for _, f := range fields {
		switch f.name {
		case "kind":
			p.decode(f, &head, "kind")
		case "metadata":
			p.parseMetadata(f, &head)
		}
	}
	spec := newSpec(resource.Kind(head.Kind))
	p.doc.Resource = resource.Resource{Name: head.Metadata.Name, Version: head.Metadata.Version, Spec: spec}
	for _, f := range fields {
		if !slices.Contains([]string{"kind", "metadata", "spec", "status"}, f.name) {
			p.add(f.name, "unknown field")
		}
	}
	if spec == nil {
		if !slices.Contains(p.bad, "kind") {
			p.add("kind", "%q is not a kind; known kinds are %v", head.Kind, resource.Kinds)
		}
		return
	}
	for _, f := range fields {
		if f.name == "spec" {
			p.parseSpec(f, spec)
		}
	}
	p.validate()
}

func (p *documentParser) parseMetadata(f field, head *header) {
	fields, _ := p.fields("metadata", f.value)
	for _, f := range fields {
		p.decode(f, &head.Metadata, "metadata."+f.name)
	}
}

func (p *documentParser) parseSpec(f field, spec resource.Spec) {
	if f.value.Type() == ast.NullType {
		return // a spec without fields
	}
	fields, _ := p.fields("spec", f.value)
	for _, f := range fields {
		p.decode(f, spec, "spec."+f.name)
	}
}

// validate adds the findings of the resource itself, but not those of fields
// that have one already because they could not be read.
func (p *documentParser) validate() {
	prefix := p.doc.Resource.Key().String() + ": "
	for _, f := range p.doc.Resource.Validate() {
		path := strings.TrimPrefix(f.Place, prefix)
		if !slices.Contains(p.bad, path) {
			p.problems = append(p.problems, problem{path, f.Problem})
		}
	}
}

type field struct {
	name  string
	entry *ast.MappingValueNode
	value ast.Node
}

// fields returns the entries of a mapping and records their positions.
func (p *documentParser) fields(path string, node ast.Node) ([]field, bool) {
	var entries []*ast.MappingValueNode
	switch node := node.(type) {
	case *ast.MappingNode:
		entries = node.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{node}
	default:
		p.add(path, "is a %s, not a mapping", typeName(node))
		return nil, false
	}
	list := make([]field, 0, len(entries))
	for _, e := range entries {
		name := e.Key.GetToken().Value
		full := strings.TrimPrefix(path+"."+name, ".")
		p.doc.positions[full] = e.Key.GetToken()
		list = append(list, field{name: name, entry: e, value: e.Value})
	}
	return list, true
}

func (p *documentParser) add(path, format string, args ...any) {
	p.bad = append(p.bad, path)
	p.problems = append(p.problems, problem{path, fmt.Sprintf(format, args...)})
}

// decode reads one field of the struct into. The decoder converts between
// numbers, booleans and strings, so the type is checked first.
func (p *documentParser) decode(f field, into any, path string) {
	target, ok := fieldType(into, f.name)
	if !ok {
		p.add(path, "unknown field")
		return
	}
	if !p.checkType(f.value, target, path) {
		return
	}
	one := ast.Mapping(f.entry.GetToken(), false, f.entry)
	if err := yaml.NodeToValue(one, into, yaml.Strict()); err != nil {
		text := err.Error()
		var positioned yaml.Error
		if errors.As(err, &positioned) {
			text = positioned.GetMessage()
		}
		p.add(path, "%s", text)
	}
}

func fieldType(into any, name string) (reflect.Type, bool) {
	t := reflect.TypeOf(into).Elem()
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func (p *documentParser) checkType(node ast.Node, target reflect.Type, path string) bool {
	if target.Kind() == reflect.Slice {
		list, ok := node.(*ast.SequenceNode)
		if !ok {
			p.add(path, "is a %s, not a list", typeName(node))
			return false
		}
		good := true
		for i, item := range list.Values {
			itemPath := path + "." + strconv.Itoa(i)
			p.doc.positions[itemPath] = item.GetToken()
			good = p.checkType(item, target.Elem(), itemPath) && good
		}
		if !good {
			p.bad = append(p.bad, path)
		}
		return good
	}
	want := map[reflect.Kind]string{
		reflect.String: "string", reflect.Bool: "boolean",
		reflect.Int: "integer", reflect.Int64: "integer", reflect.Uint64: "integer",
	}[target.Kind()]
	if got := typeName(node); got != want && want != "" {
		p.add(path, "is a %s, not a %s", got, want)
		return false
	}
	return true
}

func typeName(node ast.Node) string {
	switch node.Type() {
	case ast.StringType, ast.LiteralType:
		return "string"
	case ast.BoolType:
		return "boolean"
	case ast.IntegerType:
		return "integer"
	case ast.FloatType, ast.InfinityType, ast.NanType:
		return "number with a fraction"
	case ast.NullType:
		return "null value"
	case ast.MappingType, ast.MappingValueType:
		return "mapping"
	case ast.SequenceType:
		return "list"
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		return "anchor or alias (not supported)"
	}
	return node.Type().String()
}

func newSpec(kind resource.Kind) resource.Spec {
	switch kind {
	case resource.KindService:
		return &resource.Service{}
	case resource.KindServer:
		return &resource.Server{}
	case resource.KindRank:
		return &resource.Rank{}
	case resource.KindRoute:
		return &resource.Route{}
	case resource.KindZone:
		return &resource.Zone{}
	}
	return nil
}
