package lupinvalve.discovery;

import java.io.IOException;
import lupinvalve.routing.EndpointState;

/** Maps the words that discovery's JSON form and its DNS records share. Stateless. */
final class DiscoveryFormat {
    static final int MICROS_PER_MILLI = 1000;

    private DiscoveryFormat() {}

    /**
     * Maps a phase.
     *
     * @param source what holds the phase, for the error
     */
    static EndpointState state(String phase, String source) throws IOException {
        return switch (phase) {
            case "in_service" -> EndpointState.LIVE;
            case "terminating" -> EndpointState.DRAINING;
            case "terminated" -> EndpointState.DEPARTED;
            default -> throw new IOException(source + ": phase " + phase);
        };
    }

    /** Whether a rank, null where there is none, is that of a primary. */
    static boolean isPrimary(String rank) {
        return "source".equals(rank);
    }
}
