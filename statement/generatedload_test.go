package statement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// queryTemplate is a shape of the generated load: how its statements are written and what they truly cost.
type queryTemplate struct {
	class      int
	generate   func(rng *rand.Rand) (text string, costMS float64)
	costFactor float64 // by which the cost has changed
}

// logUniform draws from low to high, evenly by orders of magnitude.
func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, rng.Float64())
}

// generatedShapes is the number of shapes of the generated load.
const generatedShapes = 60

// generateTemplates draws shapes of five forms. Costs rise with the width of a range, the length of a list, LIMIT and
// hot values, by exponents that differ from shape to shape; part of each cost is fixed.
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

// rangeQuery costs by the width of a range, over four orders of magnitude.
func rangeQuery(table string, base, power float64) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		low, width := rng.IntN(1e6), logUniform(rng, 1, 1e4)
		text := fmt.Sprintf("SELECT sum(a) FROM %s WHERE d BETWEEN %d AND %d", table, low, low+int(width))
		return text, base + base*0.3*math.Pow(width, power)
	}
}

// listQuery costs by the length of a list.
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

// hotValueQuery has a hot value, one time in ten, which costs thirty times as much as others.
func hotValueQuery(table string, base float64, hotValue int) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		value, costMS := rng.IntN(1e6), base
		if rng.IntN(10) == 0 {
			value, costMS = hotValue, base*30
		}
		return fmt.Sprintf("SELECT * FROM %s WHERE airline = 'c%d' AND gate = 'A1'", table, value), costMS
	}
}

// intervalQuery costs by an interval and a bound on the rows.
func intervalQuery(table string, base, power float64) func(*rand.Rand) (string, float64) {
	return func(rng *rand.Rand) (string, float64) {
		days, limit := int(logUniform(rng, 1, 700)), int(logUniform(rng, 1, 1000))
		text := fmt.Sprintf("SELECT * FROM %s WHERE d > now() - INTERVAL '%d days' ORDER BY d LIMIT %d",
			table, days, limit)
		return text, base + base*math.Pow(float64(days), power) + 0.05*base*float64(limit)/10
	}
}

// insertion costs by the rows that it writes.
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
