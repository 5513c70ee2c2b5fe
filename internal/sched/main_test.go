package sched_test

import (
	"testing"

	"sapphiregauge/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Run{Checks: "2000"}.Main(m) }
