package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReasonsAreCountedByPool(t *testing.T) {
	log := strings.Join([]string{
		`1.0 e1 {"msg":"job adopted","job":"a","pool":"p"}`,
		`1.1 e1 {"msg":"run starts","job":"a","waited":900000000}`,
		`4.0 e1 {"msg":"job completed","job":"a","pool":"p","late":true}`,
		`1.0 e1 {"msg":"job refused","job":"b","pool":"p"}`,
		`1.0 e1 {"msg":"job refused for room","job":"e","pool":"q"}`,
		`2.0 e1 {"msg":"pool left","pool":"q"}`,
		`2.5 e2 {"msg":"job adopted","job":"c","pool":"q"}`,
		`4.0 e2 {"msg":"pool loaded","pool":"q"}`,
		`4.1 e2 {"msg":"run starts","job":"c","waited":1600000000}`,
		`9.0 e2 {"msg":"job completed","job":"c","pool":"q","late":true}`,
		`9.1 e2 {"msg":"run ended","job":"d","pool":"q","end":"lapsed"}`,
		`9.2 e2 {"msg":"job completed","job":"d","pool":"q","late":false}`,
		`not a line of the log`,
	}, "\n")
	counts, err := Reasons(strings.NewReader(log))
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, map[string]map[Reason]int{
		"p": {ReasonRoom: 1, ReasonRefused: 1},
		"q": {ReasonNoOwner: 1, ReasonRefused: 1},
	})
	assert.Assert(t, strings.Contains(ReasonTable(counts), "all"))
}
