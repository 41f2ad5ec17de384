/**
 * What the members of a group agree on, and the decisions around it: no I/O, no clock, told the time as an argument.
 * {@code replication} carries it over the network and to disk.
 */
package lupinvalve.statemachine;
