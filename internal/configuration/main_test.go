package configuration

import (
	"testing"

	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1000) }
