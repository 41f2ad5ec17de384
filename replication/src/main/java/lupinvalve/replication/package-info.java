/**
 * Replicates the state machine's commands between members and to their disks: Raft (MicroRaft), MINA, files. "The
 * group's thread" is that of the event loop named {@code store}, a member's or a subscriber's.
 */
package lupinvalve.replication;
