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

// documentHeader holds the fields of a document outside its spec.
type documentHeader struct {
	Kind     string           `json:"kind"`
	Metadata documentMetadata `json:"metadata"`
}

type documentMetadata struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// documentParser reads one document. It decodes each field separately, since the
// YAML decoder stops at the first problem.
type documentParser struct {
	doc          *Document
	problems     []unlocatedProblem // get their location in findings(), when the resource's name is known
	invalidPaths []string           // paths of fields that could not be read
}

// unlocatedProblem is a finding without the position in the file.
type unlocatedProblem struct{ path, message string }

// findings returns the problems with their locations.
func (p *documentParser) findings() finding.List {
	var list finding.List
	for _, problem := range p.problems {
		list.Add(p.doc.Location(problem.path), "%s", problem.message)
	}
	return list
}

func (p *documentParser) parse(body ast.Node) {
	fields, ok := p.mappingFields("", body)
	if !ok {
		return
	}
	// Kind and name are read first: the kind selects the type of the spec, and all
	// findings name the resource by both.
	var header documentHeader
	for _, f := range fields {
		switch f.name {
		case "kind":
			p.decodeField(f, &header, "kind")
		case "metadata":
			p.parseMetadata(f, &header)
		}
	}
	spec := newSpec(resource.Kind(header.Kind))
	p.doc.Resource = resource.Resource{Name: header.Metadata.Name, Version: header.Metadata.Version, Spec: spec}
	for _, f := range fields {
		if !slices.Contains([]string{"kind", "metadata", "spec", "status"}, f.name) {
			p.addProblem(f.name, "unknown field")
		}
	}
	if spec == nil {
		if !slices.Contains(p.invalidPaths, "kind") {
			p.addProblem("kind", "%q is not a kind; known kinds are %v", header.Kind, resource.Kinds)
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

func (p *documentParser) parseMetadata(f field, header *documentHeader) {
	fields, _ := p.mappingFields("metadata", f.value)
	for _, f := range fields {
		p.decodeField(f, &header.Metadata, "metadata."+f.name)
	}
}

func (p *documentParser) parseSpec(f field, spec resource.Spec) {
	if f.value.Type() == ast.NullType {
		return // a spec without fields
	}
	fields, _ := p.mappingFields("spec", f.value)
	for _, f := range fields {
		p.decodeField(f, spec, "spec."+f.name)
	}
}

// validate adds the findings of the resource's own validation, except for fields
// that could not be read and have a finding already.
func (p *documentParser) validate() {
	// Resource.Validate returns places of the form "Kind/name: path".
	prefix := p.doc.Resource.Key().String() + ": "
	for _, f := range p.doc.Resource.Validate() {
		path := strings.TrimPrefix(f.Place, prefix)
		if !slices.Contains(p.invalidPaths, path) {
			p.problems = append(p.problems, unlocatedProblem{path, f.Problem})
		}
	}
}

// field is one entry of a mapping.
type field struct {
	name  string
	entry *ast.MappingValueNode
	value ast.Node
}

// mappingFields returns the entries of a mapping and stores their key tokens in
// the document, as the positions for findings.
func (p *documentParser) mappingFields(path string, node ast.Node) ([]field, bool) {
	var entries []*ast.MappingValueNode
	switch node := node.(type) {
	case *ast.MappingNode:
		entries = node.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{node}
	default:
		p.addProblem(path, "has type %s, not mapping", typeName(node))
		return nil, false
	}
	list := make([]field, 0, len(entries))
	for _, e := range entries {
		name := e.Key.GetToken().Value
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		p.doc.fieldTokens[fieldPath] = e.Key.GetToken()
		list = append(list, field{name: name, entry: e, value: e.Value})
	}
	return list, true
}

func (p *documentParser) addProblem(path, format string, args ...any) {
	p.invalidPaths = append(p.invalidPaths, path)
	p.problems = append(p.problems, unlocatedProblem{path, fmt.Sprintf(format, args...)})
}

// decodeField decodes one field into the struct that dest points to. The YAML
// decoder silently converts between numbers, booleans and strings, so the type is
// checked first.
func (p *documentParser) decodeField(f field, dest any, path string) {
	targetType, ok := fieldType(dest, f.name)
	if !ok {
		p.addProblem(path, "unknown field")
		return
	}
	if !p.checkType(f.value, targetType, path) {
		return
	}
	singleField := ast.Mapping(f.entry.GetToken(), false, f.entry)
	if err := yaml.NodeToValue(singleField, dest, yaml.Strict()); err != nil {
		message := err.Error()
		var positioned yaml.Error
		if errors.As(err, &positioned) {
			message = positioned.GetMessage()
		}
		p.addProblem(path, "%s", message)
	}
}

// fieldType returns the type of the field of dest with the given JSON name.
func fieldType(dest any, name string) (reflect.Type, bool) {
	t := reflect.TypeOf(dest).Elem()
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// checkType reports whether a node has the type that the field needs, and adds a
// problem if not. Lists are checked item by item.
func (p *documentParser) checkType(node ast.Node, targetType reflect.Type, path string) bool {
	if targetType.Kind() == reflect.Slice {
		list, ok := node.(*ast.SequenceNode)
		if !ok {
			p.addProblem(path, "has type %s, not list", typeName(node))
			return false
		}
		valid := true
		for i, item := range list.Values {
			itemPath := path + "." + strconv.Itoa(i)
			p.doc.fieldTokens[itemPath] = item.GetToken()
			valid = p.checkType(item, targetType.Elem(), itemPath) && valid
		}
		if !valid {
			p.invalidPaths = append(p.invalidPaths, path)
		}
		return valid
	}
	want := map[reflect.Kind]string{
		reflect.String: "string", reflect.Bool: "boolean",
		reflect.Int: "integer", reflect.Int64: "integer", reflect.Uint64: "integer",
	}[targetType.Kind()]
	if got := typeName(node); got != want && want != "" {
		p.addProblem(path, "has type %s, not %s", got, want)
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
