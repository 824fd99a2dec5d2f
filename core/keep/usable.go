package keep

const (
	// minFree is the minimum number of a server's connections that its gateway leaves to other
	// instances: to the one that monitors the service's primary, and to one that takes over the
	// connections to the server.
	minFree = 2
	// freeDivisor gives the part of the server's connections that the gateway leaves to other
	// instances: one in freeDivisor. After an instance loses power, the server keeps that
	// instance's connections open for some seconds, and the instance that takes over can
	// only use the connections that were left free.
	freeDivisor = 3
	// defaultLimit is the server's limit of connections if the configuration sets none.
	defaultLimit = 16
)

// Usable returns the number of connections that a gateway opens to a server with the given limit. Zero or
// less stands for a limit that isn't known.
func Usable(limit int) int {
	if limit <= 0 {
		limit = defaultLimit
	}
	return max(limit-max(minFree, limit/freeDivisor), 1)
}
