package router

const (
	// sizeWeightSlope is the increase of the weight for a task that is larger than the mean by the mean.
	// Smaller tasks take each gap as it opens, so that tasks of more than half a target were admitted and
	// then refused late. Of 2, 6, 12 and 24, 6 is the
	// largest that costs no site of the model more than 0.002 of its benefit.
	sizeWeightSlope = 6
	// maxSizeWeight bounds the weight, so that a route of large tasks is not refused because of it while
	// the queue is shorter than a quarter of its slack. Tasks half as large again as the mean reach it.
	maxSizeWeight = 4
)

// sizeWeight returns the factor on a job's estimated wait for the size of its tasks.
func (r *Router) sizeWeight(j *job) float64 {
	mean := r.meanNeeds[j.spec.Service]
	if mean <= 0 || !r.isEnabled(SizeWeighting) {
		return 1
	}
	return min(1+sizeWeightSlope*max(float64(j.spec.Need.CPU)/mean-1, 0), maxSizeWeight)
}
