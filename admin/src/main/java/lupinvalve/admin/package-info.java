/** The admin interface: operators' commands to a running pooler, over TCP. */
package lupinvalve.admin;
