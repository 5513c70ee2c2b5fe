package sizing

import "sort"

// need is the number of machines that a pool could use.
type need struct {
	base   int // for long-running tasks and work that comes meanwhile
	timely int // in addition, for jobs that can meet their objective
	// memory is in addition, for the memory of long-running tasks beyond what goes with their cores.
	// Most other tasks need little memory; so a pool gets these only if its work waits, and while no
	// other pool lacks machines for timely work.
	memory int
	late   int // in addition, for jobs that can't
}

// share divides the available machines: each pool gets its base, then timely work is served, then
// what long-running tasks take up of memory is made up for, and then late work is served, in proportion to the needs where there aren't enough machines for all.
func share(needs map[string]need, pools []string, supply int) map[string]int {
	machines := make(map[string]int, len(pools))
	for _, part := range []func(need) int{
		func(n need) int { return n.base },
		func(n need) int { return n.timely },
		func(n need) int { return n.memory },
		func(n need) int { return n.late },
	} {
		requested := make([]int, len(pools))
		for i, p := range pools {
			requested[i] = part(needs[p])
		}
		for i, n := range divide(requested, supply) {
			machines[pools[i]] += n
			supply -= n
		}
	}
	return machines
}

// divide gives each pool what it asks for, or a proportional share if the sum exceeds the supply;
// the largest remainders are rounded up.
func divide(requested []int, supply int) []int {
	sum := 0
	for _, a := range requested {
		sum += a
	}
	if sum <= supply {
		return requested
	}
	shares := make([]int, len(requested))
	if supply <= 0 {
		return shares
	}
	order := make([]int, len(requested))
	left := supply
	for i, a := range requested {
		shares[i] = a * supply / sum
		left -= shares[i]
		order[i] = i
	}
	sort.SliceStable(order, func(x, y int) bool {
		return requested[order[x]]*supply%sum > requested[order[y]]*supply%sum
	})
	for _, i := range order[:left] {
		shares[i]++
	}
	return shares
}
