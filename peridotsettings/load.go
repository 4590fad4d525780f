package peridotsettings

import (
	"embed"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

//go:embed schema/*.json
var schemas embed.FS

// Load validates the file at path against the schema of settings, which must be
// a pointer to an Entry, Agent, Platform or Backend, and decodes the file into it.
// The error lists each invalid field with its value and the values it may have.
func Load(path string, settings any) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrap(Parse(body, settings), "settings file "+path)
}

// Parse is like Load, but takes the contents of the file.
func Parse(body []byte, settings any) error {
	schema, err := schemaOf(settings)
	if err != nil {
		return err
	}
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "malformed JSON")
	}
	if err := schema.Validate(document); err != nil {
		return describeError(err, document, schema)
	}
	if err := json.Unmarshal(body, settings); err != nil {
		return errors.Wrap(err, "decode")
	}
	return checkTLS(settings)
}

// schemaOf returns the schema for the type of settings.
func schemaOf(settings any) (*jsonschema.Schema, error) {
	var name string
	switch settings.(type) {
	case *Entry:
		name = "entry.json"
	case *Agent:
		name = "agent.json"
	case *Platform:
		name = "platform.json"
	case *Backend:
		name = "backend.json"
	default:
		return nil, errors.Errorf("no schema for %T", settings)
	}
	compiler := jsonschema.NewCompiler()
	compiler.RegisterFormat(&jsonschema.Format{Name: "ip-port", Validate: validateAddress})
	compiler.AssertFormat()
	for _, file := range []string{"process.json", name} {
		if err := addSchema(compiler, file); err != nil {
			return nil, err
		}
	}
	schema, err := compiler.Compile(name)
	return schema, errors.Wrap(err, "compile schema "+name)
}

func addSchema(compiler *jsonschema.Compiler, file string) error {
	body, err := schemas.ReadFile("schema/" + file)
	if err != nil {
		return errors.Wrap(err, "read schema")
	}
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "parse schema "+file)
	}
	return errors.Wrap(compiler.AddResource(file, document), "add schema "+file)
}

// validateAddress returns an error if value is a string but not an IP address with
// a port.
func validateAddress(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil // The schema checks the type.
	}
	_, err := netip.ParseAddrPort(text)
	return err
}

// checkTLS returns an error if an agent has no TLS settings and its PeerAddress is
// not a loopback address.
func checkTLS(settings any) error {
	agent, ok := settings.(*Agent)
	if !ok || agent.TLS != nil {
		return nil
	}
	address, err := netip.ParseAddrPort(agent.PeerAddress)
	if err != nil {
		return err
	}
	if !address.Addr().IsLoopback() {
		return errors.Errorf("TLS: missing; it may be left out only where PeerAddress is loopback, and PeerAddress is %q", agent.PeerAddress)
	}
	return nil
}

// describeError returns an error with a message for each invalid field that err
// reports. If err is not a validation error, it returns err.
func describeError(err error, document any, schema *jsonschema.Schema) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	lines := errorLines(invalid, document, schema)
	return errors.New(strings.Join(lines, "; "))
}

// errorLines returns a message for each invalid field.
func errorLines(e *jsonschema.ValidationError, document any, schema *jsonschema.Schema) []string {
	if len(e.Causes) > 0 {
		var lines []string
		for _, cause := range e.Causes {
			lines = append(lines, errorLines(cause, document, schema)...)
		}
		return lines
	}
	path := strings.Join(e.InstanceLocation, ".")
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return fieldLines(path, k.Missing, "missing", schema)
	case *kind.AdditionalProperties:
		return fieldLines(path, k.Properties, "unknown field", nil)
	case *kind.FalseSchema:
		return []string{path + ": unknown field"}
	case *kind.Not, *kind.OneOf:
		return []string{"EngineAddress, ServiceAddress, Service: set EngineAddress alone, or ServiceAddress and Service"}
	}
	line := fmt.Sprintf("%s: got %v", path, valueAt(document, e.InstanceLocation))
	return []string{line + allowedValues(schema, e.InstanceLocation)}
}

// fieldLines returns a line for each of the given fields of the object at the path
// parent: the message and the values that the field may have. schema is the schema of
// the document, or nil to leave these values out.
func fieldLines(parent string, fields []string, message string, schema *jsonschema.Schema) []string {
	var lines []string
	for _, field := range fields {
		path := field
		if parent != "" {
			path = parent + "." + field
		}
		lines = append(lines, path+": "+message+allowedValues(schema, strings.Split(path, ".")))
	}
	return lines
}

// allowedValues returns a text that describes which values the field at path may
// have, or an empty string.
func allowedValues(schema *jsonschema.Schema, path []string) string {
	for _, name := range path {
		schema = childSchema(schema, name)
	}
	if schema == nil || schema.Description == "" {
		return ""
	}
	return "; allowed: " + schema.Description
}

// childSchema returns the schema of the property with the given name or, if schema
// describes a list, the schema of its items. It follows references. It returns nil
// if there is no such schema.
func childSchema(schema *jsonschema.Schema, name string) *jsonschema.Schema {
	if schema == nil {
		return nil
	}
	if property, ok := schema.Properties[name]; ok {
		return property
	}
	if items, ok := schema.Items2020, schema.Items2020 != nil; ok {
		return items
	}
	return childSchema(schema.Ref, name)
}

// valueAt returns the JSON encoding of the value at path.
func valueAt(document any, path []string) string {
	for _, name := range path {
		switch d := document.(type) {
		case map[string]any:
			document = d[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err == nil && i < len(d) {
				document = d[i]
			}
		}
	}
	text, err := json.Marshal(document)
	if err != nil {
		return "an unreadable value"
	}
	return string(text)
}
