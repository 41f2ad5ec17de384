package lupinvalve.routing;

/**
 * Tracks which server is the primary of each group, from the roles that servers state of themselves. Newer statements
 * override older ones. A primary's log position is the present time, so the position stated with a claim to be primary
 * is the time of the claim, however late the report arrives. All times are in microseconds.
 */
final class PrimaryTracker {
    private static final long NEVER_MICROS = Long.MIN_VALUE;

    /** The replica role of one server. */
    static final class ServerState {
        /** The latest time at which the server is known to have been a replica. */
        private long knownReplicaMicros = NEVER_MICROS;
    }

    /** The primary of one group. */
    static final class GroupState {
        private Server primary;
        /** Time of the newest claim to be primary; the endpoint list does not set it. */
        private long claimMicros = NEVER_MICROS;

        /** The server taken for the primary, or null if none is known. */
        Server primary() {
            return primary;
        }
    }

    private final RouterContext context;
    private final PrimarySearch search;

    PrimaryTracker(RouterContext context, PrimarySearch search) {
        this.context = context;
        this.search = search;
    }

    /**
     * Records the role that a server stated.
     *
     * @param position the log position stated with it, or {@link LogPosition#UNKNOWN}
     * @param inAnswer whether it was stated in the answer to an attempt, which is current; a health check may return an
     *     old report
     */
    void record(Server server, ServerRole role, long position, boolean inAnswer) {
        GroupState state = server.group.primaryState;
        if (role == ServerRole.REPLICA && inAnswer) {
            server.role.knownReplicaMicros = context.nowMicros();
            if (state.primary == server) {
                primaryLost(server.group);
            }
        } else if (role == ServerRole.REPLICA) {
            // The report may be old, so it ends the primary role only if it is newer than the claim.
            if (state.primary == server && position > state.claimMicros && state.claimMicros != NEVER_MICROS) {
                server.role.knownReplicaMicros = Math.max(server.role.knownReplicaMicros, position);
                primaryLost(server.group);
            }
        } else if (role == ServerRole.PRIMARY) {
            long claimMicros = position == LogPosition.UNKNOWN ? context.nowMicros() : position;
            if (claimMicros > state.claimMicros && claimMicros > server.role.knownReplicaMicros) {
                state.claimMicros = claimMicros;
                state.primary = server;
            }
        }
    }

    /**
     * Handles a live server that the endpoint list marks as primary: it becomes the group's primary, unless one is
     * known or the server is known to have been a replica.
     */
    void listedAsPrimary(Server server) {
        if (server.group.primary() == null && server.role.knownReplicaMicros == NEVER_MICROS) {
            server.group.primaryState.primary = server;
        }
    }

    /** Handles the departure of a server. */
    void serverDeparted(Server server) {
        if (server.group.primary() == server) {
            primaryLost(server.group);
        }
    }

    /** Handles the start of a new process of a server, which does not have the primary role of the former process. */
    void serverRestarted(Server server, long startedMicros) {
        if (server.group.primary() == server && server.group.primaryState.claimMicros < startedMicros) {
            primaryLost(server.group);
        }
    }

    private void primaryLost(ServerGroup group) {
        group.primaryState.primary = null;
        search.begin(group);
    }
}
