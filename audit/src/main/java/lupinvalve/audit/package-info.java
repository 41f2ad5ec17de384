/**
 * Leases, which decide which pooler may act on which configuration, and audit entries, which record which pooler acted
 * on which one and when. No I/O, threads or clocks: callers pass the time as an argument.
 */
package lupinvalve.audit;
