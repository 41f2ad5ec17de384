/**
 * Decisions for poolers that subscribe to the group's configuration without being members, and for the members that
 * serve them. No I/O, threads or clocks: callers pass the time as an argument.
 */
package lupinvalve.subscription;
