/** Warm-up: scripted db nodes and clients, for the start of the daemon and for the class archive of the build. */
package lupinvalve.warmup;
