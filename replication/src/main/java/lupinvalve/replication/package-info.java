/** Carries the ledger's changes between the members of a group and to their disks: Raft (MicroRaft), MINA, files. */
package lupinvalve.replication;
