/**
 * Scripted db nodes and clients that warm up the daemon's code when it starts, and that run it when the build creates
 * its class data sharing archive.
 */
package lupinvalve.warmup;
