package detector_test

import (
	"fmt"
	"time"

	"redwingstage.org/coord/detector"
)

// A member that becomes four times slower than the others is a straggler within a fraction of a second.
func Example() {
	d := detector.New(detector.Config{})
	now := time.Unix(0, 0)
	usual := 20 * time.Millisecond
	observe := func(rounds int, slowed time.Duration) {
		for range rounds {
			now = now.Add(usual)
			d.Observe(now, "engine-1", detector.TokenGap, usual)
			d.Observe(now, "engine-2", detector.TokenGap, usual)
			d.Observe(now, "engine-3", detector.TokenGap, slowed)
		}
	}
	observe(50, usual)
	fmt.Println(d.IsStraggler(now, "engine-3"))
	observe(20, 4*usual)
	fmt.Println(d.IsStraggler(now, "engine-1"), d.IsStraggler(now, "engine-3"))
	// Output:
	// false
	// false true
}
