package sock

import "syscall"

// maxKnownDescriptors is the number of descriptors from which a limit counts as none.
const maxKnownDescriptors = 1 << 24

// MaxDescriptors returns the largest number of descriptors that this process may have, or zero if there is
// no limit.
func MaxDescriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	if limit.Cur >= maxKnownDescriptors {
		return 0, nil
	}
	return int(limit.Cur), nil
}
