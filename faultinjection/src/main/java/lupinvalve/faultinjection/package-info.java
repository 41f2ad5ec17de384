/**
 * Faults at numbered points of what a process does. The simulation of a group stands in the package of what it
 * simulates, {@code lupinvalve.replication}, since it plays that package's own parts in virtual time.
 */
package lupinvalve.faultinjection;
