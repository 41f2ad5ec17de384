/** Replicates the state machine's commands between members and to their disks: Raft (MicroRaft), MINA, files. */
package lupinvalve.replication;
