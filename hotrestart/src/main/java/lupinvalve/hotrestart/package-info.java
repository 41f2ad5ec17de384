/** Files that the two processes of a hot restart share: process markers and the operators' drain commands. */
package lupinvalve.hotrestart;
