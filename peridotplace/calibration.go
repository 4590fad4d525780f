package peridotplace

const (
	// waitSmoothing is the weight of a new observation in the moving averages of waits.
	waitSmoothing = 0.02
	// maxWaitFactor is the maximum factor by which estimated waits are multiplied.
	maxWaitFactor = 6.0
	// minBusyWaitMillis is the estimated wait in ms below which an engine is
	// considered idle.
	minBusyWaitMillis = 3.0
)

// waitCalibration learns the ratio of observed to estimated waits at engines of one
// role. Observed waits are longer because the estimate lacks the most recent requests
// of other instances, and because engines spend time on work that the estimate
// does not include.
type waitCalibration struct {
	// idleOverheadMillis is the mean time in ms that an idle engine takes in addition
	// to the prefill itself.
	idleOverheadMillis float64
	// meanObservedMillis and meanEstimatedMillis are the mean waits in ms at engines
	// that are not idle.
	meanObservedMillis  float64
	meanEstimatedMillis float64
}

// observe records the estimated and the observed wait in ms of a prompt. The observed
// wait is the time from sending the prompt to the end of its prefill, minus the estimated
// prefill time. If the estimated wait is below minBusyWaitMillis, observe updates only
// the idle overhead.
func (c *waitCalibration) observe(estimatedMillis, observedMillis float64) {
	if estimatedMillis < minBusyWaitMillis {
		c.idleOverheadMillis += (max(0, observedMillis) - c.idleOverheadMillis) * waitSmoothing
		return
	}
	c.meanObservedMillis += (max(0, observedMillis-c.idleOverheadMillis) - c.meanObservedMillis) * waitSmoothing
	c.meanEstimatedMillis += (estimatedMillis - c.meanEstimatedMillis) * waitSmoothing
}

// factor returns the factor, from 1 to maxWaitFactor, by which an estimated wait is to
// be multiplied.
func (c *waitCalibration) factor() float64 {
	if c.meanEstimatedMillis < minBusyWaitMillis {
		return 1
	}
	return min(max(c.meanObservedMillis/c.meanEstimatedMillis, 1), maxWaitFactor)
}
