// Command standin3 plays the platform, the backends and the clients of one small deployment around the project's
// own program, for the scripts of this review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(folder string){"moved": moved, "killed": killed, "grey": grey, "late": late}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	run(os.Args[2])
}
