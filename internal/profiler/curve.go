package profiler

import "math"

const (
	// binWidth is the width of a bin of declared run times in logarithms: a factor of 1.35, less than the error
	// of a declared run time.
	binWidth = 0.3
	// binCount is the number of bins. They cover 1 ms to 12 days.
	binCount = 70
	// firstBin is the logarithm of the shortest declared run time in seconds: 1 ms.
	firstBin = -6.9
	// binWindow is the number of tasks over which a bin is averaged.
	binWindow = 400
	// priorTasks is the number of tasks at which half of a bin's correction is applied. The tasks of one job take
	// longer or shorter together, so that they are worth four to fifteen jobs.
	priorTasks = 30
)

// Curve corrects a linear prediction of run times from declared ones where the relation is not linear: the declared
// run times of jobs that take several times as long as others say more than differences among the others. The zero
// value corrects nothing.
type Curve struct {
	bins [binCount]struct {
		count int
		mean  float64
	}
}

// position returns the bin before a declared run time and how far it is on the way to the centre of the next.
func position(logDeclared float64) (bin int, part float64) {
	at := min(max((logDeclared-firstBin)/binWidth-0.5, 0), binCount-1.001)
	whole := math.Floor(at)
	return int(whole), at - whole
}

// Add adds a task: the logarithm of its declared run time, and that of its run time over the linear prediction.
func (c *Curve) Add(logDeclared, residual float64) {
	bin, part := position(logDeclared)
	if part >= 0.5 {
		bin++
	}
	b := &c.bins[bin]
	b.count = min(b.count+1, binWindow)
	b.mean += (residual - b.mean) / float64(b.count)
}

// Correction returns what is added to the logarithm of a linear prediction.
func (c *Curve) Correction(logDeclared float64) float64 {
	bin, part := position(logDeclared)
	return (1-part)*c.shrunk(bin) + part*c.shrunk(bin+1)
}

func (c *Curve) shrunk(bin int) float64 {
	b := &c.bins[bin]
	return b.mean * float64(b.count) / float64(b.count+priorTasks)
}
