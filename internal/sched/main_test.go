package sched_test

import (
	"testing"

	"sapphiregauge/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Flags{Checks: "2000"}.Main(m) }
