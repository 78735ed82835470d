package slo

import (
	"testing"

	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.DefaultChecks) }
