/**
 * Adapter between the simulator's wire protocol and the router. The protocol's message, field and value names are
 * mapped to the terms of {@code lupinvalve.routing} in this package and nowhere else:
 * {@link lupinvalve.simulator.EventMapper} for events, {@link lupinvalve.simulator.ActionWriter} for actions and
 * {@link lupinvalve.simulator.SettingsReader} for settings.
 */
package lupinvalve.simulator;
