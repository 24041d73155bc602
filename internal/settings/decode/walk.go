package decode

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	rateType     = reflect.TypeFor[Rate]()
)

// walk compares a node with the type that it is to be decoded into.
func (r *Report) walk(key string, node ast.Node, target reflect.Type) {
	if _, ok := r.lines[key]; !ok {
		r.lines[key] = node.GetToken().Position.Line
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		r.Add(key, "anchors, aliases and tags are not supported", "a plain value")
		return
	case ast.NullType:
		r.Add(key, "has no value", expectation(target))
		return
	}
	switch {
	case target.Kind() == reflect.Struct:
		r.walkStruct(key, node, target)
	case target.Kind() == reflect.Slice:
		r.walkSequence(key, node, target.Elem())
	default:
		r.walkScalar(key, node, target)
	}
}

func (r *Report) walkStruct(key string, node ast.Node, target reflect.Type) {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		r.Add(key, "is not a group of keys", expectation(target))
		return
	}
	for _, value := range values {
		name := value.Key.GetToken().Value
		path := join(key, name)
		r.lines[path] = value.Key.GetToken().Position.Line
		field, ok := fieldNamed(target, name)
		if !ok {
			r.Add(path, "unknown key", expectation(target))
			continue
		}
		r.walk(path, value.Value, field)
	}
}

func (r *Report) walkSequence(key string, node ast.Node, element reflect.Type) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.Add(key, "is not a list", "a list")
		return
	}
	for i, value := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", key, i)
		r.lines[path] = value.GetToken().Position.Line
		r.walk(path, value, element)
	}
}

func (r *Report) walkScalar(key string, node ast.Node, target reflect.Type) {
	text := strings.TrimSpace(node.GetToken().Value)
	if node.Type() == ast.MappingType || node.Type() == ast.MappingValueType || node.Type() == ast.SequenceType {
		r.Add(key, "is not a single value", expectation(target))
		return
	}
	isString := node.Type() == ast.StringType || node.Type() == ast.LiteralType
	switch {
	case target == durationType:
		if _, err := time.ParseDuration(text); err != nil || !isString {
			r.Add(key, fmt.Sprintf("%q is not a duration with a unit", text), durationExpected)
		}
	case target == sizeType:
		if _, err := ParseSize(text); err != nil {
			r.Add(key, err.Error(), sizeExpected)
		}
	case target == rateType:
		if _, err := ParseRate(text); err != nil {
			r.Add(key, err.Error(), rateExpected)
		}
	case target.Kind() == reflect.String:
		if !isString {
			r.Add(key, fmt.Sprintf("%q is not text", text), expectation(target))
		}
	default:
		if err := yaml.NodeToValue(node, reflect.New(target).Interface()); err != nil || isString {
			r.Add(key, fmt.Sprintf("%q does not fit", text), expectation(target))
		}
	}
}

// expectation describes the values of a type.
func expectation(target reflect.Type) string {
	switch target {
	case durationType:
		return durationExpected
	case sizeType:
		return sizeExpected
	case rateType:
		return rateExpected
	}
	switch target.Kind() {
	case reflect.Struct:
		return "one of " + strings.Join(fieldNames(target), ", ")
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "a whole number"
	}
}

func fieldNamed(target reflect.Type, name string) (reflect.Type, bool) {
	for i := range target.NumField() {
		if yamlName(target.Field(i)) == name {
			return target.Field(i).Type, true
		}
	}
	return nil, false
}

func fieldNames(target reflect.Type) []string {
	var names []string
	for i := range target.NumField() {
		if name := yamlName(target.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// yamlName returns the field's key; it is empty for fields that files can't set.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
