package peridotcheck_test

import (
	"fmt"
	"strings"
	"testing"

	"peridotstack/peridotcheck"
	"peridotstack/peridotsite"
	"peridotstack/platform"
)

// config returns a configuration with a sound route and a sound service, in which the given
// fields follow in the route and in the configuration.
func config(route, more string) string {
	return `{"version":5,"routes":[{"host":"h","prefix":"/a/"` + route + `}],
"services":[{"name":"s"}]` + more + `}`
}

// check returns the findings of a configuration in one line each, without their texts.
func check(t *testing.T, text string, options ...peridotcheck.Option) string {
	t.Helper()
	source := peridotcheck.ParseSource([]byte(text))
	c, problems := platform.DecodeConfig([]byte(text))
	findings := peridotcheck.Refused(problems, source)
	if c != nil {
		options = append(options, peridotcheck.WithSource(source), peridotcheck.WithKnownFields(platform.ConfigFields()))
		findings = peridotcheck.Check(c, options...)
	}
	var lines []string
	for _, f := range findings {
		lines = append(lines, fmt.Sprintf("%d %v %s", f.Line, f.Severity, f.Field))
		if f.Text == "" || strings.Contains(f.Text, "secret") {
			t.Errorf("%s: got text %q, want one without keys", f.Field, f.Text)
		}
	}
	return strings.Join(lines, "; ")
}

// TestCheck guards against checks that miss a mistake, name another field or line, or report
// what is sound. Errors are only what fronts refuse.
func TestCheck(t *testing.T) {
	const service = `,"service":"s"`
	current, _ := platform.DecodeConfig([]byte(config(service, "")))
	inForce := peridotcheck.WithCurrent(current)
	for _, test := range []struct {
		name, text string
		option     peridotcheck.Option
		want       string
	}{
		{name: "sound", text: config(service, "")},
		{name: "malformed", text: "{\n\"version\":5,\n\"routes\":[}", want: "3 error routes"},
		{name: "empty", text: "", want: "0 error "},
		{name: "another type", text: config(service+",\n\"slo-ms\":\"x\"", ""), want: "2 error routes[0].slo-ms"},
		{name: "another type in tenants", text: config(service, ",\"tenants\":[{},\n{\"api-keys\":\"secret\"}]"), want: "3 error tenants[1].api-keys"},
		{name: "tenants of another type", text: config(service, ",\n\"tenants\":7"), want: "3 error tenants"},
		{name: "refused twice", text: "{\"version\":0,\n\"routes\":[{\"host\":\"h\"}]}", want: "1 error version; 2 error routes[0]"},
		{name: "field not understood", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":-1,"unit":"bytes","burst":5}]`), want: "2 error tenants[0].rate-per-s; 2 error tenants[0].unit"},

		{name: "misspelled", text: config(service+`,"timeout_ms":5`, ""), want: "1 warning routes[0].timeout_ms"},
		{name: "misspelled array", text: config(service+`,"backend":[{"service":"s"}]`, ""), want: "1 warning routes[0].backend"},
		{name: "field of other programs", text: config(service+`,"sticky":true,"timeout":5`, `,"tenants":[{"name":"t","prio":1}]`)},
		{name: "twice", text: config(service+`,"prio":1,"Prio":2`, ""), want: "1 warning routes[0].Prio"},

		{name: "preceded", text: config(service+`},{"host":"h","prefix":"/a/","service":"s"`, ""), want: "1 warning routes[1].prefix"},
		{name: "another host", text: config(service+`},{"host":"i","prefix":"/a/","service":"s"`, "")},
		{name: "more specific", text: config(service+`},{"host":"h","prefix":"/a/b/","service":"s"},{"host":"h","prefix":"/","service":"s"`, "")},
		{name: "empty prefix", text: config(service+`},{"host":"i","service":"s"`, "")},
		{name: "empty prefix preceded", text: config(service+`},{"host":"h","prefix":"/","service":"s"},{"host":"h","service":"s"`, ""), want: "1 warning routes[2].prefix"},
		{name: "prefix without a slash", text: config(service+`},{"host":"h","prefix":"b","service":"s"`, ""), want: "1 warning routes[1].prefix"},
		{name: "prefix with a query", text: config(service+`},{"host":"h","prefix":"/b?x","service":"s"`, ""), want: "1 warning routes[1].prefix"},
		{name: "prefix not escaped", text: config(service+`},{"host":"h","prefix":"/ä/","service":"s"`, ""), want: "1 warning routes[1].prefix"},
		{name: "prefix escaped", text: config(service+`},{"host":"h","prefix":"/%C3%A4/","service":"s"`, "")},
		{name: "hosts", text: config(service+`},{"host":"H","prefix":"/","service":"s"},{"host":"h:80","prefix":"/","service":"s"},{"host":"*.h","prefix":"/","service":"s"},{"prefix":"/","service":"s"`, ""), want: "1 warning routes[1].host; 1 warning routes[2].host; 1 warning routes[3].host; 1 warning routes[4].host"},
		{name: "address as host", text: config(service+`},{"host":"[::1]","prefix":"/","service":"s"`, "")},

		{name: "objective above the timeout", text: config(service+`,"slo-ms":200,"timeout-ms":100`, ""), want: "1 warning routes[0].slo-ms"},
		{name: "objective of the timeout", text: config(service+`,"slo-ms":100,"timeout-ms":100`, "")},
		{name: "objective without a timeout", text: config(service+`,"slo-ms":100`, "")},
		{name: "gap above the timeout", text: config(service+`,"type":"stream","gap-target-ms":200,"timeout-ms":100`, ""), want: "1 warning routes[0].gap-target-ms"},
		{name: "negative", text: config(service+`,"timeout-ms":-1,"attempts":-1`, `,"limits":{"idle-timeout-ms":-1}`), want: "1 warning routes[0].timeout-ms; 1 warning routes[0].attempts; 2 warning limits.idle-timeout-ms"},
		{name: "unknown type", text: config(service+`,"type":"streem"`, ""), want: "1 warning routes[0].type"},
		{name: "unknown service", text: config(`,"backends":[{"service":"s"},{"service":"o"}]`, ""), want: "1 warning routes[0].backends[1].service"},
		{name: "no weight", text: config(`,"backends":[{"service":"s","weight":0}]`, ""), want: "1 warning routes[0]"},
		{name: "no weight yet", text: config(`,"backends":[{"service":"s"},{"service":"o","weight":0}]`, `,"services":[{"name":"s"},{"name":"o"}]`), want: "2 warning services"},
		{name: "service beside backends", text: config(`,"service":"o","backends":[{"service":"s"}]`, ""), want: "1 warning routes[0].service"},
		{name: "service unused", text: `{"version":5,"services":[{"name":"s"}]}`, want: "1 warning services[0].name"},
		{name: "service twice", text: `{"version":5,"routes":[{"host":"h","prefix":"/","service":"s"}],"services":[{"name":"s"},{"name":"s"}]}`, want: "1 warning services[0].name"},
		{name: "service without connections", text: `{"version":5,"routes":[{"host":"h","prefix":"/","service":"s"}],"services":[{"name":"s","max-conns":0}]}`, want: "1 warning routes[0].service"},

		{name: "rate without a burst", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5}]`), want: "2 warning tenants[0].burst"},
		{name: "burst without a rate", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"burst":5}]`), want: "2 warning tenants[0].burst"},
		{name: "burst below a request", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":0.5}]`), want: "2 warning tenants[0].burst"},
		{name: "burst below raw-tokens", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":5,"unit":"tokens","raw-tokens":6}]`), want: "2 warning tenants[0].burst"},
		{name: "burst of raw-tokens", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":6,"unit":"tokens","raw-tokens":6}]`)},
		{name: "misspelled beside the field", text: config(service+`,"hosts":5`, "")},
		{name: "burst below the largest request", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":5,"unit":"tokens"}]`), option: peridotcheck.WithLargestRequest(6), want: "2 warning tenants[0].burst"},
		{name: "raw-tokens of requests", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":5,"raw-tokens":6}]`), want: "2 warning tenants[0].raw-tokens"},
		{name: "limit without a key", text: config(service, `,"tenants":[{"name":"t","rate-per-s":5,"burst":5}]`), want: "2 warning tenants[0].rate-per-s"},
		{name: "limit without a name", text: config(service, `,"tenants":[{"api-keys":["secret"],"rate-per-s":5,"burst":5}]`), want: "2 warning tenants[0]"},
		{name: "limit on public routes", text: config(service+`,"public":true`, `,"tenants":[{"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":5}]`), want: "2 warning tenants"},
		{name: "account twice", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret"]},{"name":"t","api-keys":["secret2"]}]`), want: "2 warning tenants[1].name"},
		{name: "keys", text: config(service, `,"tenants":[{"name":"t","api-keys":["secret","","secret"]},{"name":"u","api-keys":["secret"]}]`), want: "2 warning tenants[0].api-keys[1]; 2 warning tenants[0].api-keys[2]; 2 warning tenants[1].api-keys[0]"},
		{name: "accounts withdrawn", text: config(service, `,"tenants":[]`)},

		{name: "no body", text: config(service, `,"limits":{"max-body-bytes":0}`), want: "2 warning limits.max-body-bytes"},
		{name: "body in memory", text: config(service, `,"limits":{"max-body-bytes":58720256}`), option: peridotcheck.WithMemory(144 << 20)},
		{name: "body above memory", text: config(service, `,"limits":{"max-body-bytes":58720257}`), option: peridotcheck.WithMemory(144 << 20), want: "2 warning limits.max-body-bytes"},
		{name: "large heads", text: config(service, `,"limits":{"max-header-bytes":1048577}`), want: "2 warning limits.max-header-bytes"},

		{name: "in force", text: config(service, ""), option: inForce},
		{name: "same version, other content", text: config(service+`,"prio":1`, ""), option: inForce, want: "1 error version"},
	} {
		var options []peridotcheck.Option
		if test.option != nil {
			options = append(options, test.option)
		}
		if got := check(t, test.text, options...); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// TestTruncatedConfig guards against a panic at input that ends early, and against a truncated
// configuration without an error.
func TestTruncatedConfig(t *testing.T) {
	text := config(`,"service":"s","backends":[{"service":"s","weight":1}]`, `,"tenants":[{"name":"t","api-keys":["secret"],"burst":-1}]`)
	for i := range text {
		if got := check(t, text[:i]); !strings.Contains(got, "error") {
			t.Errorf("%s: got %q, want an error", text[:i], got)
		}
	}
}

// TestCompare guards against a change that isn't listed, and against keys in the list.
func TestCompare(t *testing.T) {
	decode := func(text string) *peridotsite.Config {
		c, problems := platform.DecodeConfig([]byte(text))
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		return c
	}
	was := decode(config(`,"service":"s","name":"r"},{"host":"i","prefix":"/","service":"s"`, `,"tenants":[{"name":"t","api-keys":["secret1"]}]`))
	text := config(`,"service":"s","name":"r","slo-ms":7},{"host":"j","prefix":"/","service":"s"`, `,"tenants":[{"name":"t","api-keys":["secret2","secret3"]}]`)
	var got []string
	for _, c := range peridotcheck.Compare(was, decode(text), peridotcheck.ParseSource([]byte(text))) {
		got = append(got, fmt.Sprintf("%d %s: %s", c.Line, c.Field, c.Text))
	}
	want := []string{
		`1 routes[0].slo-ms: route "r": slo-ms was 0, is 7`,
		`1 routes[1]: route "j/" is new`,
		`2 tenants[0].api-keys: account "t": new keys: 2, withdrawn keys: 1`,
		`0 routes[1]: route "i/" is removed`,
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := peridotcheck.Compare(was, was, &peridotcheck.Source{}); len(got) > 0 {
		t.Errorf("with itself: got %v, want no change", got)
	}
}
