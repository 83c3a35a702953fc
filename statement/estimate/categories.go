package estimate

// category is a tracked value of a categorical feature.
type category struct {
	hash   uint32  // hash of the value; 0 in an unused entry
	count  float32 // number of occurrences, decayed
	offset float32 // offset that is added to the predicted log
}

// findCategory returns the entry of a value of the i-th categorical feature, or nil if the value is not tracked.
func (m *Model) findCategory(i int, hash uint32) *category {
	if hash == 0 {
		return nil
	}
	for j := range m.categories[i] {
		if m.categories[i][j].hash == hash {
			return &m.categories[i][j]
		}
	}
	return nil
}

// updateCategory updates the offset of a value of the i-th categorical feature. A value that is not tracked replaces
// the least frequent one after untracked values have occurred often enough, similar to the Space-Saving algorithm
// (Metwally, Agrawal and El Abbadi, 2005).
func (m *Model) updateCategory(i int, hash uint32, err, weight float64) {
	if hash == 0 {
		return
	}
	tracked := m.findCategory(i, hash)
	if tracked == nil {
		tracked = &m.categories[i][0] // the least frequent
		for j := range m.categories[i] {
			if m.categories[i][j].count < tracked.count {
				tracked = &m.categories[i][j]
			}
		}
		tracked.count *= categoryCountDecay
		if tracked.count > 1 {
			return
		}
		*tracked = category{hash: hash}
	}
	tracked.count = min(tracked.count+1, maxCategoryCount)
	tracked.offset += float32(weight * err * max(minCategoryRate, 1/(float64(tracked.count)+categoryRateConstant)))
}
