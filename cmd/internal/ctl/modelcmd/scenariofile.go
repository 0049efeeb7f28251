package modelcmd

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/model"
)

// scenarioFile is a scenario and where its fields were declared.
type scenarioFile struct {
	name     string
	scenario model.Scenario
	lines    map[string]int // by path of the field, such as "classes.0.rank"
	findings finding.List   // places are paths
	flags    map[string]string
}

// parseScenario reads a scenario in YAML or JSON. Each field is decoded separately,
// since the YAML decoder stops at the first problem.
func parseScenario(name string, data []byte) *scenarioFile {
	f := &scenarioFile{name: name, lines: map[string]int{}, flags: map[string]string{}}
	parsed, err := parser.ParseBytes(data, 0)
	switch {
	case err != nil:
		f.findings.Add("", "%v", yaml.FormatError(err, false, false))
	case len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil:
		f.findings.Add("", "has to hold one document")
	default:
		f.decode("", parsed.Docs[0].Body, reflect.ValueOf(&f.scenario).Elem())
	}
	return f
}

// override drops the findings of a field that a flag replaces.
func (f *scenarioFile) override(field, flag string) {
	f.flags[field] = flag
	var kept finding.List
	for _, x := range f.findings {
		if x.Place != field && !strings.HasPrefix(x.Place, field+".") {
			kept = append(kept, x)
		}
	}
	f.findings = kept
}

// allFindings returns the findings of the file and, for the fields that could be read,
// those of the scenario. Their places are "file:line: path" or the flag.
func (f *scenarioFile) allFindings() finding.List {
	list := f.findings
	for _, x := range f.scenario.Validate() {
		if !f.hasFinding(x.Place) {
			list = append(list, x)
		}
	}
	located := make(finding.List, 0, len(list))
	for _, x := range list {
		located.Add(f.location(x.Place), "%s", x.Problem)
	}
	return located
}

// hasFinding reports whether the field, or one that encloses it, could not be read.
func (f *scenarioFile) hasFinding(path string) bool {
	for _, x := range f.findings {
		if x.Place == "" || x.Place == path || strings.HasPrefix(path, x.Place+".") {
			return true
		}
	}
	return false
}

// location returns the place of a field. If it is missing in the file, the line is that
// of the closest enclosing field.
func (f *scenarioFile) location(path string) string {
	root, _, _ := strings.Cut(path, ".")
	if flag, ok := f.flags[root]; ok {
		return flag
	}
	for field := path; field != ""; field = field[:max(0, strings.LastIndexByte(field, '.'))] {
		if line, ok := f.lines[field]; ok {
			return fmt.Sprintf("%s:%d: %s", f.name, line, path)
		}
	}
	return strings.TrimSuffix(f.name+": "+path, ": ")
}

func (f *scenarioFile) decode(path string, node ast.Node, dest reflect.Value) {
	switch {
	case dest.Type() == reflect.TypeFor[time.Duration]():
		text, ok := node.(*ast.StringNode)
		if !ok {
			f.findings.Add(path, "has to be a duration such as 270ms")
			return
		}
		d, err := time.ParseDuration(text.Value)
		if err != nil {
			f.findings.Add(path, "%q is not a duration such as 270ms", text.Value)
		}
		dest.SetInt(int64(d))
	case dest.Kind() == reflect.Struct:
		f.decodeMapping(path, node, dest)
	case dest.Kind() == reflect.Slice:
		list, ok := node.(*ast.SequenceNode)
		if !ok {
			f.findings.Add(path, "has to be a list")
			return
		}
		dest.Set(reflect.MakeSlice(dest.Type(), len(list.Values), len(list.Values)))
		for i, item := range list.Values {
			itemPath := fmt.Sprintf("%s.%d", path, i)
			f.lines[itemPath] = item.GetToken().Position.Line
			f.decode(itemPath, item, dest.Index(i))
		}
	default:
		f.decodeScalar(path, node, dest)
	}
}

func (f *scenarioFile) decodeMapping(path string, node ast.Node, dest reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		f.findings.Add(path, "has to be a mapping")
		return
	}
	for _, entry := range mapping.Values {
		name := entry.Key.GetToken().Value
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		f.lines[fieldPath] = entry.Key.GetToken().Position.Line
		field := dest.FieldByNameFunc(func(goName string) bool {
			t, _ := dest.Type().FieldByName(goName)
			return t.Tag.Get("json") == name
		})
		if !field.IsValid() {
			f.findings.Add(fieldPath, "unknown field")
			continue
		}
		f.decode(fieldPath, entry.Value, field)
	}
}

// decodeScalar checks the type first, because the YAML decoder silently converts between
// numbers, booleans and strings.
func (f *scenarioFile) decodeScalar(path string, node ast.Node, dest reflect.Value) {
	var ok bool
	want := ""
	switch dest.Kind() {
	case reflect.String:
		want = "a string"
		_, ok = node.(*ast.StringNode)
	case reflect.Bool:
		want = "true or false"
		_, ok = node.(*ast.BoolNode)
	case reflect.Float64:
		want = "a number"
		_, isInteger := node.(*ast.IntegerNode)
		_, isFloat := node.(*ast.FloatNode)
		ok = isInteger || isFloat
	default:
		want = "an integer"
		_, ok = node.(*ast.IntegerNode)
	}
	if ok {
		ok = yaml.NodeToValue(node, dest.Addr().Interface()) == nil
	}
	if !ok || dest.Kind() == reflect.Float64 && math.IsNaN(dest.Float()) {
		f.findings.Add(path, "has to be %s", want)
	}
}
