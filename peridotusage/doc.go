// Package peridotusage meters the usage of client accounts and reports each
// request to the platform exactly once.
//
// Each request is counted twice: by the agent beside the backend server that
// runs it, and by the entry instance that sent it there. Both count it in the
// window in which the entry instance sent it. A Counter keeps these cumulative
// figures and hands them over to the Collector of the shard, which may merge them
// in any order and any number of times. The Collector seals each window in the
// table service, by a commit that takes effect only while the Collector's process
// holds the lease, and reports exactly what the sealed row contains. Figures that
// arrive after a window was sealed are reported with a later window as a
// correction.
package peridotusage
