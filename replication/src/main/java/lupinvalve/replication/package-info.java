/**
 * Replicates the state machine's commands between members, and stores them on the members' disks: Raft by MicroRaft,
 * connections by Apache MINA. "The group's thread" in this package is the thread of the event loop named {@code store},
 * of a member or of a subscriber.
 */
package lupinvalve.replication;
