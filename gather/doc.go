// Package gather batches the items of stages from all instances into shared calls to upstreams.
//
// Each pool has one queue in each failure domain, owned by one instance: clients submit jobs to the owner, which
// fills the calls.
package gather
