package lupinvalve.scale;

import java.util.Map;

/**
 * What a host of hollow poolers is told, one JSON line each.
 *
 * @param listen where a pooler that is a member listens; null where it listens nowhere
 * @param members addresses of the control members as this pooler reaches them, by name
 */
record HostCommand(What what, String pooler, String folder, String listen, Map<String, String> members) {
    /** What is to be done. */
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
