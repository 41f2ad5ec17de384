/**
 * The replicated state machine of a group of poolers, and the decisions around it: bootstrap, membership changes,
 * batching of session commits, log compaction. No I/O, threads or clocks: callers pass the time as an argument.
 * {@code replication} does the network and disk I/O.
 */
package lupinvalve.statemachine;
