package lupinvalve.discovery;

import java.io.IOException;
import lupinvalve.routing.EndpointState;

/** Maps the values that discovery's JSON lists and its DNS records have in common. Stateless. */
final class DiscoveryFormat {
    static final int MICROS_PER_MILLI = 1000;

    private DiscoveryFormat() {}

    /**
     * Maps a phase to a state.
     *
     * @param source what the phase was read from, for the error message
     * @throws IOException if the phase is unknown
     */
    static EndpointState state(String phase, String source) throws IOException {
        return switch (phase) {
            case "in_service" -> EndpointState.LIVE;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.DEPARTED;
            default -> throw new IOException(source + ": unknown phase " + phase);
        };
    }

    /** Whether a rank is that of a primary; {@code rank} is null if the entry has none. */
    static boolean isPrimary(String rank) {
        return "source".equals(rank);
    }
}
