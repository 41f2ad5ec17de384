/**
 * Decisions for poolers that subscribe to the group's configuration without being members, and for the members that
 * serve them. No I/O and no threads: callers pass in the time.
 */
package lupinvalve.subscription;
