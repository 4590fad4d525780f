package peridotfront

import (
	"math"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotlocality"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

const (
	// maxArrivalsPerDatagram and maxTimesPerDatagram limit the entries in message.Locality,
	// of up to 11 and 16 bytes each. Of more servers, other ones are sent each time.
	maxArrivalsPerDatagram = 16
	maxTimesPerDatagram    = 48
	// maxDomainBytes limits the length of a failure domain's name in it.
	maxDomainBytes = 64
)

// localityReport is the encoded form of the part of a peridotplace.Report on failure domains.
type localityReport struct {
	_        struct{} `cbor:",toarray"`
	Domain   string
	Arrivals []arrival
	Times    []servedTime
}

// arrival is the encoded form of a peridotplace.Arrival, in requests per 1000 s.
type arrival struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Rate    uint32
}

// servedTime is the encoded form of a peridotplace.ServedTime. Weight is in hundredths.
type servedTime struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Micros uint32
	Weight uint32
}

// newLocalityReport returns the encoded form, or nil if there is nothing to report.
func newLocalityReport(r peridotplace.Report) *localityReport {
	if r.Domain == "" || len(r.Domain) > maxDomainBytes {
		return nil
	}
	l := &localityReport{Domain: r.Domain}
	for _, a := range r.Arrivals[:min(len(r.Arrivals), maxArrivalsPerDatagram)] {
		l.Arrivals = append(l.Arrivals, arrival{Service: serverHash(a.Service), Rate: toUint32(a.PerSecond * 1000)})
	}
	for _, t := range r.Times[:min(len(r.Times), maxTimesPerDatagram)] {
		l.Times = append(l.Times, servedTime{Server: serverHash(t.Backend), Micros: toUint32(t.Millis * 1000), Weight: toUint32(t.Weight * 100)})
	}
	return l
}

// addTo adds the decoded form to a report. It omits servers and services whose hash is
// unknown.
func (l *localityReport) addTo(r *peridotplace.Report, ids, services map[uint32]string) {
	if l == nil || len(l.Domain) > maxDomainBytes {
		return
	}
	r.Domain = l.Domain
	for _, a := range l.Arrivals {
		if service, ok := services[a.Service]; ok {
			r.Arrivals = append(r.Arrivals, peridotplace.Arrival{Service: service, PerSecond: float64(a.Rate) / 1000})
		}
	}
	for _, t := range l.Times {
		if id, ok := ids[t.Server]; ok {
			r.Times = append(r.Times, peridotplace.ServedTime{Backend: id, Millis: float64(t.Micros) / 1000, Weight: float64(t.Weight) / 100})
		}
	}
}

// toUint32 rounds a number and limits it to the range of the type.
func toUint32(v float64) uint32 {
	return uint32(min(max(0, math.Round(v)), math.MaxUint32))
}

// serviceHashes returns the names of the services by the hashes that identify them in
// datagrams.
func serviceHashes(config *peridotsite.Config) map[uint32]string {
	names := make(map[uint32]string, len(config.Services))
	for i := range config.Services {
		names[serverHash(config.Services[i].Name)] = config.Services[i].Name
	}
	return names
}

// setTimesLeft sets what the balance of failure domains needs of a request. The objective of a
// stream is for its first event, but servers are measured by whole answers.
func (x *exchange) setTimesLeft(prompt *peridotplace.Prompt) {
	prompt.Bytes = len(x.body)
	prompt.ToDeadline = x.remaining()
	if x.route.Objective > 0 && x.route.Kind != peridotsite.Stream {
		prompt.ToObjective = x.route.Objective - x.elapsed()
	}
}

// recordCrossing counts a request that was sent to a server, with its body, if the server is in
// another failure domain.
func (x *exchange) recordCrossing(to peridotsite.Backend) {
	x.crossedFor = ""
	if to.Domain == x.front.settings.Domain {
		return
	}
	if x.crossedFor = x.placedFor; x.crossedFor == "" {
		x.crossedFor = peridotlocality.Cost
	}
	x.front.metrics.CountCrossing(string(x.crossedFor))
	x.recordCrossingBytes(len(x.body))
}

// recordCrossingBytes counts bytes of a body if the server of the present try is in another
// failure domain.
func (x *exchange) recordCrossingBytes(n int) {
	if x.crossedFor != "" {
		x.front.metrics.CountCrossingBytes(string(x.crossedFor), n)
	}
}

// recordSizes reports the sizes of the request and its whole answer to the placer.
func (x *exchange) recordSizes(answerBytes int) {
	x.recordCrossingBytes(answerBytes)
	if !x.service.Scarce || x.service.Engine != nil {
		return
	}
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.RecordBytes(x.service.Name, len(x.body), answerBytes)
}

// logLocalityChanges logs changes of what is assumed of the failure domains. The caller must
// hold Front.mu.
func (f *Front) logLocalityChanges() {
	for _, change := range f.placer.LocalityChanges() {
		switch c := change.(type) {
		case peridotplace.SendingChange:
			text := "requests stay in the failure domain again"
			if c.Sending {
				text = "requests leave the failure domain, whose servers would answer late"
			}
			log.WithFields(log.Fields{"service": c.Service, "own_answer_ms": c.OwnAnswer}).Info(logPrefix + text)
		case peridotplace.KnownChange:
			text := "load of a failure domain is unknown"
			if c.Known {
				text = "load of a failure domain is known"
			}
			log.WithFields(log.Fields{"domain": c.Domain, "fronts_heard": c.Heard, "fronts": c.Instances}).Info(logPrefix + text)
		}
	}
}

// elapsed returns the time since the request arrived.
func (x *exchange) elapsed() time.Duration {
	return x.timeout - x.remaining()
}
