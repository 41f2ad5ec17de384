/**
 * Injects faults at numbered points of a process's execution. The simulation of a Raft group is in the package that it
 * simulates, {@code lupinvalve.replication}, because it runs that package's package-private classes in virtual time.
 */
package lupinvalve.faultinjection;
