package lupinvalve.scale;

import java.util.Map;

/**
 * Command to a host of hollow poolers, one JSON object per line.
 *
 * @param listen listening address of a pooler that is a member; null if it does not listen
 * @param members addresses through which this pooler reaches the control members, by member name
 */
record HostCommand(What what, String pooler, String folder, String listen, Map<String, String> members) {
    /** Kind of command. */
    enum What {
        START,
        STOP,
        REPORT,
        END
    }

    static HostCommand stop(String pooler) {
        return new HostCommand(What.STOP, pooler, null, null, null);
    }

    static HostCommand report() {
        return new HostCommand(What.REPORT, null, null, null, null);
    }

    static HostCommand end() {
        return new HostCommand(What.END, null, null, null, null);
    }
}
