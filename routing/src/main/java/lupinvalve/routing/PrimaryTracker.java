package lupinvalve.routing;

/**
 * Which server is the primary of each group, by what the servers state of themselves. Newer statements win: a primary
 * stands at the present, so its log position dates its claim however late the report comes.
 */
final class PrimaryTracker {
    private static final long NEVER_MICROS = Long.MIN_VALUE;

    /** What one server has stated. */
    static final class ServerState {
        /** Up to when it has proven to be a replica. */
        private long replicaAtMicros = NEVER_MICROS;
    }

    /** The primary of one group. */
    static final class GroupState {
        private Server primary;
        private long claimMicros = NEVER_MICROS;

        /** The server that counts as primary, or null where none is known. */
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

    /** Records the role that a server stated, at a log position that may be {@link LogPosition#UNKNOWN}. */
    void record(Server server, ServerRole role, long position, boolean inAnswer) {
        GroupState state = server.group.primaryState;
        if (role == ServerRole.REPLICA && inAnswer) {
            server.role.replicaAtMicros = context.nowMicros();
            if (state.primary == server) {
                primaryLost(server.group);
            }
        } else if (role == ServerRole.REPLICA) {
            // A report may be old: it counts against a claim only if it is newer.
            if (state.primary == server && position > state.claimMicros && state.claimMicros != NEVER_MICROS) {
                server.role.replicaAtMicros = Math.max(server.role.replicaAtMicros, position);
                primaryLost(server.group);
            }
        } else if (role == ServerRole.PRIMARY) {
            long claim = position == LogPosition.UNKNOWN ? context.nowMicros() : position;
            if (claim > state.claimMicros && claim > server.role.replicaAtMicros) {
                state.claimMicros = claim;
                state.primary = server;
            }
        }
    }

    /** The endpoint list names a live server as primary: it counts where nothing better is known. */
    void listedAsPrimary(Server server) {
        if (server.group.primary() == null && server.role.replicaAtMicros == NEVER_MICROS) {
            server.group.primaryState.primary = server;
        }
    }

    /** A server has departed. */
    void serverDeparted(Server server) {
        if (server.group.primary() == server) {
            primaryLost(server.group);
        }
    }

    /** A server's process is new: it has lost whatever role it had before. */
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
