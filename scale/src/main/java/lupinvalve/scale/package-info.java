/**
 * The scale run: real control members and some whole daemons as processes, hundreds of poolers' control code beside
 * them in a few processes, load and faults between them; measured against the operators' budgets and judged.
 */
package lupinvalve.scale;
