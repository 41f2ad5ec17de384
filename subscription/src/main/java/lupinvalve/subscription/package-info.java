/**
 * Decisions for poolers that follow the group without being members of it, and for the members that they follow. No
 * I/O.
 */
package lupinvalve.subscription;
