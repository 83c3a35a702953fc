package statement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// queryTemplate is a shape of the generated workload. It generates statements with their true costs.
type queryTemplate struct {
	class      int
	generate   func(rng *rand.Rand) (text string, costMS float64)
	costFactor float64 // factor by which the cost has changed
}

// logUniform draws from the log-uniform distribution between low and high.
func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, rng.Float64())
}

// generatedShapes is the number of shapes of the generated workload.
const generatedShapes = 60

// generateTemplates draws shapes of five forms. Depending on the form, the cost rises with the width of a range, the
// length of a list, the length of an interval and LIMIT, or the number of rows, or is higher for a hot value. Exponents
// differ between shapes, and in all forms but the list, part of the cost is fixed.
func generateTemplates(rng *rand.Rand) (list []*queryTemplate) {
	for i := range generatedShapes {
		base, power := logUniform(rng, 20, 200), 0.5+0.5*rng.Float64()
		table := fmt.Sprintf("ops_%d.t%d", i%8, i)
		hotValue := rng.IntN(20)
		template := &queryTemplate{costFactor: 1}
		switch i % 5 {
		case 0:
			template.class, template.generate = 1, rangeQuery(table, base, power)
		case 1:
			template.generate = listQuery(table, base, power)
		case 2:
			template.generate = hotValueQuery(table, base, hotValue)
		case 3:
			template.class, template.generate = 1, intervalQuery(table, base, power)
		default:
			template.class, template.generate = 2, insertion(table, base)
		}
		list = append(list, template)
	}
	return list
}

// rangeQuery returns a generator of queries whose cost depends on the width of a range, over four orders of magnitude.
func rangeQuery(table string, base, power float64) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		low, width := rng.IntN(1e6), logUniform(rng, 1, 1e4)
		text := fmt.Sprintf("SELECT sum(a) FROM %s WHERE d BETWEEN %d AND %d", table, low, low+int(width))
		return text, base + base*0.3*math.Pow(width, power)
	}
}

// listQuery returns a generator of queries whose cost depends on the length of a list.
func listQuery(table string, base, power float64) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		length := int(logUniform(rng, 1, 300))
		text := fmt.Sprintf("SELECT * FROM %s WHERE id IN (%d", table, rng.IntN(1e6))
		for range length - 1 {
			text += fmt.Sprintf(", %d", rng.IntN(1e6))
		}
		return text + ")", base * math.Pow(float64(length), power)
	}
}

// hotValueQuery returns a generator of queries of which one in ten has a hot value, with thirty times the cost.
func hotValueQuery(table string, base float64, hotValue int) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		value, costMS := rng.IntN(1e6), base
		if rng.IntN(10) == 0 {
			value, costMS = hotValue, base*30
		}
		return fmt.Sprintf("SELECT * FROM %s WHERE airline = 'c%d' AND gate = 'A1'", table, value), costMS
	}
}

// intervalQuery returns a generator of queries whose cost depends on the length of an interval and on LIMIT.
func intervalQuery(table string, base, power float64) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		days, limit := int(logUniform(rng, 1, 700)), int(logUniform(rng, 1, 1000))
		text := fmt.Sprintf("SELECT * FROM %s WHERE d > now() - INTERVAL '%d days' ORDER BY d LIMIT %d",
			table, days, limit)
		return text, base + base*math.Pow(float64(days), power) + 0.05*base*float64(limit)/10
	}
}

// insertion returns a generator of inserts whose cost depends on the number of rows.
func insertion(table string, base float64) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		rows := int(logUniform(rng, 1, 200))
		text := fmt.Sprintf("INSERT INTO %s VALUES (%d, 'x')", table, rng.IntN(1e6))
		for range rows - 1 {
			text += fmt.Sprintf(", (%d, 'y')", rng.IntN(1e6))
		}
		return text, base + base*0.2*float64(rows)
	}
}
