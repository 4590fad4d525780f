package peridotplace

const (
	// stretchShare is the part of a new observation in the means of waits.
	stretchShare = 0.02
	// maxStretch bounds how much longer than counted a prompt is taken to wait.
	maxStretch = 6.0
	// shortWait is the counted wait in ms below which an engine counts as idle.
	shortWait = 3.0
)

// stretch learns how much longer prompts wait at engines of one role than the
// work that is known there says. What other instances sent lately is not known,
// and an engine also spends time that is not counted.
type stretch struct {
	// idle is the mean time in ms beside its reading that a prompt takes at an idle
	// engine.
	idle float64
	// waited and counted are mean waits in ms, as seen and as estimated.
	waited  float64
	counted float64
}

// learn takes a prompt that was estimated to wait for a time in ms, and took
// another one in all beside its own reading.
func (s *stretch) learn(estimated, took float64) {
	if estimated < shortWait {
		s.idle += (max(0, took) - s.idle) * stretchShare
		return
	}
	s.waited += (max(0, took-s.idle) - s.waited) * stretchShare
	s.counted += (estimated - s.counted) * stretchShare
}

// factor is by how much estimated waits are to be multiplied.
func (s *stretch) factor() float64 {
	if s.counted < shortWait {
		return 1
	}
	return min(max(s.waited/s.counted, 1), maxStretch)
}
