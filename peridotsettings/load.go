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

// Load reads the file at path into settings, a pointer to one of the types of
// this package, after checking it against the schema of that type. The error
// names each field at fault, its value and what is allowed.
func Load(path string, settings any) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return errors.Wrap(Parse(body, settings), "settings file "+path)
}

// Parse is Load for settings that are in memory.
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
		return explain(err, document, schema)
	}
	if err := json.Unmarshal(body, settings); err != nil {
		return errors.Wrap(err, "decode")
	}
	return checkTLS(settings)
}

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
	compiler.RegisterFormat(&jsonschema.Format{Name: "ip-port", Validate: checkAddress})
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

// checkAddress accepts an IP number with a port.
func checkAddress(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil // The type is checked apart.
	}
	_, err := netip.ParseAddrPort(text)
	return err
}

// checkTLS allows open connections between processes on loopback only.
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

// explain turns the findings of the validator into one line for each field.
func explain(err error, document any, schema *jsonschema.Schema) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	lines := findings(invalid, document, schema)
	return errors.New(strings.Join(lines, "; "))
}

func findings(e *jsonschema.ValidationError, document any, schema *jsonschema.Schema) []string {
	if len(e.Causes) > 0 {
		var lines []string
		for _, cause := range e.Causes {
			lines = append(lines, findings(cause, document, schema)...)
		}
		return lines
	}
	at := strings.Join(e.InstanceLocation, ".")
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return fieldLines(at, k.Missing, "missing", schema)
	case *kind.AdditionalProperties:
		return fieldLines(at, k.Properties, "unknown field", nil)
	case *kind.FalseSchema:
		return []string{at + ": unknown field"}
	case *kind.Not, *kind.OneOf:
		return []string{"EngineAddress, ServiceAddress, Service: set EngineAddress alone, or ServiceAddress and Service"}
	}
	line := fmt.Sprintf("%s: got %v", at, valueAt(document, e.InstanceLocation))
	return []string{line + allowed(schema, e.InstanceLocation)}
}

func fieldLines(at string, fields []string, message string, schema *jsonschema.Schema) []string {
	var lines []string
	for _, field := range fields {
		path := field
		if at != "" {
			path = at + "." + field
		}
		lines = append(lines, path+": "+message+allowed(schema, strings.Split(path, ".")))
	}
	return lines
}

// allowed describes what a field may hold.
func allowed(schema *jsonschema.Schema, path []string) string {
	for _, name := range path {
		schema = child(schema, name)
	}
	if schema == nil || schema.Description == "" {
		return ""
	}
	return "; allowed: " + schema.Description
}

// child returns the schema of a property or of the items of a list.
func child(schema *jsonschema.Schema, name string) *jsonschema.Schema {
	if schema == nil {
		return nil
	}
	if property, ok := schema.Properties[name]; ok {
		return property
	}
	if items, ok := schema.Items2020, schema.Items2020 != nil; ok {
		return items
	}
	return child(schema.Ref, name)
}

// valueAt returns the JSON text of the value at a path.
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
