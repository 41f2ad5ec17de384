/**
 * The replicated state machine of a group of poolers, and the decisions around it: bootstrap, membership changes,
 * batches, compaction. No I/O, threads or clocks: times are arguments. {@code replication} carries it over the network
 * and to disk.
 */
package lupinvalve.statemachine;
