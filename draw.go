package saltmast

// hash returns the 64-bit FNV-1a hash of an identifier, which is the same on every agent.
func hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h
}

// rendezvousDraw returns a pseudorandom number in [0, 1) for rendezvous hashing; it is the same for a backend
// and key on every agent.
func rendezvousDraw(backend, key uint64) float64 {
	h := backend ^ key*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return float64((h^h>>31)>>11) / (1 << 53)
}
