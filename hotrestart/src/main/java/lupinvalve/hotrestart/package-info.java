/** Files that the two processes of a hot restart share: which of them serves, and the operators' drain commands. */
package lupinvalve.hotrestart;
