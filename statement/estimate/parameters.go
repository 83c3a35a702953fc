package estimate

// The parameters of models. Costs span orders of magnitude, so models use logs: errors, widths and variances are those
// of logs. Outlier limits and the steps of the bound are relative to the mean absolute error of the predictions.

// Sizes of a model.
const (
	termCount         = 1 + MaxNumbers // inputs of the linear function
	knotCount         = 12             // knots of the correction of one number
	trackedCategories = 8              // tracked values of one categorical feature
)

// Parameters of the linear function.
const (
	priorInterceptVariance = 4.0  // variance of the prior estimate
	priorSlopeVariance     = 0.15 // variance of a prior slope
	minVariance            = 1e-4 // keeps a model adapting after many measurements
	maxVariance            = 8.0
	forgettingFactor       = 0.995 // per measurement: effectively, the last 200 count
	varianceGrowthPerHour  = 0.2   // while nothing is measured
)

// Parameters of errors and outliers.
const (
	initialMeanAbsError = 0.5
	minMeanAbsError     = 0.03
	minErrorRate        = 0.04 // minimum weight of a new error in the mean absolute error
	initialErrorRate    = 0.5  // weight of the first error; the weight decreases with the number of measurements
	outlierThreshold    = 3.0  // errors above this, in mean absolute errors, are outliers
	outlierRunLength    = 4    // outliers of the same sign in a row that indicate a change of cost
	shiftVariance       = 1.0  // variance that each outlier adds from that length of the run on
	minOutlierHistory   = 3    // number of measurements before an error can be an outlier
)

// Parameters of the corrections.
const (
	knotDistance   = 1.5 // in logs of numbers: a factor of about 4.5
	correctionRate = 0.12
)

// Parameters of the offsets of categorical values.
const (
	minCategoryRate      = 0.1
	maxCategoryCount     = 1000
	categoryCountDecay   = 0.8 // applied to the least frequent value when a value occurs that is not tracked
	categoryRateConstant = 3   // limits the effect of the first measurements of a value on its offset
)

// Parameters of the bound.
const (
	exceedanceRate    = 0.03 // fraction of measurements that may lie above the bound
	boundStep         = 0.7  // raise of the bound by a measurement above it, in mean absolute errors
	initialBoundWidth = 1.8  // extra log of bound over estimate; decreases with the number of measurements
	initialDescent    = 0.6  // initial lowering of the bound, in steps; decreases with the number of measurements
)
