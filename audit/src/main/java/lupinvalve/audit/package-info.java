/**
 * Which pooler may act on which configuration, and which one did: leases, and audit entries with what follows from
 * them. No I/O, threads or clocks: times are arguments.
 */
package lupinvalve.audit;
