package lupinvalve.routing;

import java.util.LinkedHashSet;
import java.util.Set;

/** Keeps the table of servers in line with the endpoint list, and notifies the other rules of changes. */
final class EndpointList {
    /**
     * Time for which a departed server is kept after its drain or departure was notified, since it may be listed again
     * or a health check of it may still end.
     */
    private static final long DEPARTED_RETENTION_MICROS = 5_000_000;

    /** Upper bound of the random member index at which a group's round-robin starts; far above any group's size. */
    private static final int ROUND_ROBIN_START_BOUND = 1 << 16;

    /** What the endpoint list states of one server. */
    static final class Listing {
        private EndpointState state = EndpointState.LIVE;
        private int zone;
        private long drainNotifiedMicros;
        private long startedMicros;

        EndpointState state() {
            return state;
        }

        int zone() {
            return zone;
        }

        /** The earliest time at which its drain or departure may have been notified; undefined while it is live. */
        long drainNotifiedMicros() {
            return drainNotifiedMicros;
        }
    }

    private final RouterContext context;
    private final ServerTable servers;
    private final InFlightLimit limit;
    private final SlowStart slowStart;
    private final PrimaryTracker primaries;

    EndpointList(
            RouterContext context,
            ServerTable servers,
            InFlightLimit limit,
            SlowStart slowStart,
            PrimaryTracker primaries) {
        this.context = context;
        this.servers = servers;
        this.limit = limit;
        this.slowStart = slowStart;
        this.primaries = primaries;
    }

    /** Applies a list or changes of it; servers missing from a complete list count as departed. */
    void apply(RouterEvent.EndpointUpdate update) {
        boolean complete = update.form() != ListForm.UPDATE;
        // Lists have thousands of entries, so each is found by hash rather than by search.
        Set<Server> unlisted = complete ? new LinkedHashSet<>(servers.servers()) : new LinkedHashSet<>();
        for (Endpoint endpoint : update.endpoints()) {
            Server server = servers.server(endpoint.node());
            if (server == null && endpoint.state() == EndpointState.DEPARTED) {
                continue;
            }
            if (server == null) {
                server = add(endpoint);
            }
            unlisted.remove(server);
            update(server, endpoint, update.notifiedSinceMicros());
        }
        unlisted.forEach(server -> setState(server, EndpointState.DEPARTED, update.notifiedSinceMicros()));
    }

    private Server add(Endpoint endpoint) {
        ServerGroup group = servers.group(endpoint.group());
        if (group == null) {
            int roundRobinStart = context.random().nextInt(ROUND_ROBIN_START_BOUND);
            group = new ServerGroup(
                    roundRobinStart, context.settings().classes().size());
            servers.addGroup(endpoint.group(), group);
        }
        Server server = new Server(endpoint.node(), group, limit.newState());
        servers.addServer(server);
        return server;
    }

    private void update(Server server, Endpoint endpoint, long notifiedSinceMicros) {
        server.listing.zone = endpoint.zone();
        setState(server, endpoint.state(), notifiedSinceMicros);
        setStarted(server, endpoint.startedAtMicros());
        if (endpoint.listedPrimary() && endpoint.state() == EndpointState.LIVE) {
            primaries.listedAsPrimary(server);
        }
    }

    /**
     * Sets the state of a server. When a live server begins to drain or departs, records the earliest time at which
     * that may have been notified, in microseconds, but no time earlier than {@code drainGraceMicros} ago: by then the
     * grace period in which writes are still sent is over anyway.
     */
    private void setState(Server server, EndpointState state, long notifiedSinceMicros) {
        Listing listing = server.listing;
        if (state != EndpointState.LIVE && listing.state == EndpointState.LIVE) {
            long earliestNotifiedMicros =
                    context.nowMicros() - context.settings().rules().drainGraceMicros();
            listing.drainNotifiedMicros =
                    Math.min(context.nowMicros(), Math.max(earliestNotifiedMicros, notifiedSinceMicros));
        }
        listing.state = state;
        if (state == EndpointState.DEPARTED) {
            primaries.serverDeparted(server);
        }
    }

    /** A later start time means a new process, which is in slow start and without the former process's role. */
    private void setStarted(Server server, long startedMicros) {
        if (startedMicros > server.listing.startedMicros) {
            server.listing.startedMicros = startedMicros;
            slowStart.begin(server, startedMicros);
            primaries.serverRestarted(server, startedMicros);
        }
    }

    /**
     * Removes departed servers that have no attempts in flight, once {@link #DEPARTED_RETENTION_MICROS} have passed
     * since their drain, or else their departure, was notified. Without this the table would grow for ever, as each
     * deployment of servers brings new ids.
     */
    void removeDeparted() {
        servers.removeServersIf(server -> server.listing.state == EndpointState.DEPARTED
                && server.inFlight.isEmpty()
                && context.nowMicros() > server.listing.drainNotifiedMicros + DEPARTED_RETENTION_MICROS);
    }
}
