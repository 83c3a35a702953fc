package estimate

// The parameters of models. Costs differ by factors, so models compute with logs: errors, widths and variances are of
// logs. A typical error is the mean absolute error of the predictions.

// The sizes of a model.
const (
	termCount         = 1 + MaxNumbers // inputs of the linear function
	knotCount         = 12             // of the correction of one number
	trackedCategories = 8              // frequent values of one categorical feature
)

// The linear function.
const (
	priorInterceptVariance = 4.0  // of the prior estimate
	priorSlopeVariance     = 0.15 // of a prior slope
	minVariance            = 1e-4 // keeps every model learning
	maxVariance            = 8.0
	forgettingFactor       = 0.995 // for each measurement: about the last 200 count
	varianceGrowthPerHour  = 0.2   // without a measurement
)

// Errors and outliers.
const (
	initialTypicalError = 0.5
	minTypicalError     = 0.03
	minErrorRate        = 0.04 // weight of a new error in the typical error, at least
	initialErrorRate    = 0.5  // and for the first measurement; it falls with their number
	outlierThreshold    = 3.0  // typical errors, beyond which an error is an outlier
	outlierRunLength    = 4    // outliers in a row on one side that count as a change of cost
	shiftVariance       = 1.0  // that each further outlier of such a run adds
	minOutlierHistory   = 3    // measurements before an error may be an outlier
)

// The corrections.
const (
	knotDistance   = 1.5 // of the logs of numbers: a factor of about 4.5
	correctionRate = 0.12
)

// The offsets of categorical values.
const (
	minCategoryRate      = 0.1
	maxCategoryCount     = 1000
	categoryCountDecay   = 0.8 // of the least frequent value, when another one comes that is not tracked
	categoryRateConstant = 3   // keeps the first measurements of a value from moving its offset too far
)

// The bound.
const (
	exceedanceRate    = 0.03 // share of measurements that may lie above the bound
	boundStep         = 0.7  // typical errors by which a measurement above the bound raises it
	initialBoundWidth = 1.8  // log of the bound over the estimate; it fades with the number of measurements
	initialDescent    = 0.6  // of the bound with the first measurements, in steps; it falls with their number
)
