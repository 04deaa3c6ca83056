package mspool

// Loan is a number of spare VMs that a pool is to have beyond its size.
type Loan struct {
	Pool string `json:"pool"`
	VMs  int    `json:"vms"`
}
