package peridotlog

import (
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	first := Source{Name: "one", Reader: strings.NewReader(`{"time":"01","message":"configuration in force","version":3}
{"time":"02","message":"backend server registered","backend":"b1"}
{"time":"03","message":"backend server registered","backend":"b2"}
{"time":"05","message":"try failed","request":"r","backend":"b1","code":"peer_lost"}
{"time":"09","message":"refused","request":"r","status":503}
{"time":"10","message":"answered","request":"other"}
{"time":"11","mess
`)}
	second := Source{Name: "two", Reader: strings.NewReader(`  6.5 front-2 {"time":"06","message":"table service does not answer","feed":"op"}
  7.0 front-2 {"time":"07","message":"answered","request":"r","backend":"b9"}
not a log line
`)}
	var b strings.Builder
	found, unreadable, err := Explain(&b, "r", first, second)
	if err != nil || found != 3 || unreadable != 2 {
		t.Errorf("got %d lines and %d unreadable (%v), want 3 and 2", found, unreadable, err)
	}
	want := `  before: 01 one configuration in force version=3
  before: 02 one backend server registered backend=b1
05 one try failed backend=b1 code=peer_lost request=r
  before: 06 front-2 table service does not answer feed=op
07 front-2 answered backend=b9 request=r
09 one refused request=r status=503
`
	if b.String() != want {
		t.Errorf("got\n%s\nwant\n%s", b.String(), want)
	}
}
