/**
 * The scale run: starts real control members and some complete daemons as processes, runs the control code of hundreds
 * of poolers in a few more processes, applies load and faults, and compares the measurements with the operators'
 * budgets.
 */
package lupinvalve.scale;
