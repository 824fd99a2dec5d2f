package main

import (
	"fmt"
	"os"
)

func main() {
	scenarios := map[string]func(*world){"stop": playStop, "sync": playSync, "stale": playStale, "memory": playMemory}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO FOLDER")
		os.Exit(2)
	}
	scenarios[os.Args[1]](newWorld(os.Args[2]))
}
