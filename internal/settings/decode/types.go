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

// checkNode compares a syntax node with the Go type that it will be decoded
// into, reports unknown keys and values of the wrong type, and records the line
// of each key.
func (r *Report) checkNode(key string, node ast.Node, target reflect.Type) {
	if _, ok := r.lines[key]; !ok {
		r.lines[key] = node.GetToken().Position.Line
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		r.Add(key, "anchors, aliases and tags are not supported", "a plain value")
		return
	case ast.NullType:
		r.Add(key, "has no value", expectedByType(target))
		return
	}
	switch {
	case target.Kind() == reflect.Struct:
		r.checkStruct(key, node, target)
	case target.Kind() == reflect.Slice:
		r.checkSequence(key, node, target.Elem())
	default:
		r.checkScalar(key, node, target)
	}
}

func (r *Report) checkStruct(key string, node ast.Node, target reflect.Type) {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		r.Add(key, "is not a mapping", expectedByType(target))
		return
	}
	for _, value := range values {
		name := value.Key.GetToken().Value
		path := joinKey(key, name)
		r.lines[path] = value.Key.GetToken().Position.Line
		valueType, ok := fieldType(target, name)
		if !ok {
			r.Add(path, "unknown key", expectedByType(target))
			continue
		}
		r.checkNode(path, value.Value, valueType)
	}
}

func (r *Report) checkSequence(key string, node ast.Node, element reflect.Type) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.Add(key, "is not a list", "a list")
		return
	}
	for i, value := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", key, i)
		r.lines[path] = value.GetToken().Position.Line
		r.checkNode(path, value, element)
	}
}

func (r *Report) checkScalar(key string, node ast.Node, target reflect.Type) {
	text := strings.TrimSpace(node.GetToken().Value)
	if node.Type() == ast.MappingType || node.Type() == ast.MappingValueType || node.Type() == ast.SequenceType {
		r.Add(key, "is not a single value", expectedByType(target))
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
			r.Add(key, fmt.Sprintf("%q is not a string", text), expectedByType(target))
		}
	default:
		if err := yaml.NodeToValue(node, reflect.New(target).Interface()); err != nil || isString {
			r.Add(key, fmt.Sprintf("%q is not valid", text), expectedByType(target))
		}
	}
}

// expectedByType describes the values that a setting of the type can have.
func expectedByType(target reflect.Type) string {
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
		return "one of " + strings.Join(fieldKeys(target), ", ")
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "a whole number"
	}
}

// fieldType returns the type of the field with the yaml key.
func fieldType(target reflect.Type, name string) (reflect.Type, bool) {
	for i := range target.NumField() {
		if yamlKey(target.Field(i)) == name {
			return target.Field(i).Type, true
		}
	}
	return nil, false
}

// fieldKeys returns the yaml keys of all fields.
func fieldKeys(target reflect.Type) []string {
	var keys []string
	for i := range target.NumField() {
		if key := yamlKey(target.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// yamlKey returns the key of a field, or an empty string for fields that cannot
// be set in a file.
func yamlKey(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
