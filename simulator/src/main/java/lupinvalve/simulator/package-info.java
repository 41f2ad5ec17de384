/**
 * The simulator's adapter. The wire's own words are mapped to the code's terms here and nowhere else:
 * {@link lupinvalve.simulator.EventMapper} for events, {@link lupinvalve.simulator.ActionWriter} for actions and
 * {@link lupinvalve.simulator.SettingsReader} for settings.
 */
package lupinvalve.simulator;
