package lupinvalve.routing;

import java.util.LinkedHashSet;
import java.util.Set;

/** Keeps the table of servers as the endpoint list names them, and tells the other rules what changed. */
final class EndpointList {
    /** How long a departed server is remembered, should the list name it again or a health check still end. */
    private static final long DEPARTED_RETENTION_MICROS = 5_000_000;

    private static final int FIRST_TURN_BOUND = 1 << 16;

    /** What the list says of one server. */
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

        /** When its departure may have been notified at the earliest; meaningful unless it is live. */
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

    /** Takes a list or its changes; servers that a complete list does not name have departed. */
    void apply(RouterEvent.EndpointUpdate update) {
        boolean complete = update.form() != ListForm.UPDATE;
        // Lists have thousands of entries: each is looked up and removed once.
        Set<Server> unnamed = complete ? new LinkedHashSet<>(servers.servers()) : new LinkedHashSet<>();
        for (Endpoint endpoint : update.endpoints()) {
            Server server = servers.server(endpoint.node());
            if (server == null && endpoint.state() == EndpointState.DEPARTED) {
                continue;
            }
            if (server == null) {
                server = add(endpoint);
            }
            unnamed.remove(server);
            update(server, endpoint, update.notifiedSinceMicros());
        }
        unnamed.forEach(server -> setState(server, EndpointState.DEPARTED, update.notifiedSinceMicros()));
    }

    private Server add(Endpoint endpoint) {
        ServerGroup group = servers.group(endpoint.group());
        if (group == null) {
            int firstTurn = context.random().nextInt(FIRST_TURN_BOUND);
            group = new ServerGroup(firstTurn, context.settings().classes().size());
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

    /** A departure whose notification may be old leaves nothing of the grace in which writes are still sent. */
    private void setState(Server server, EndpointState state, long notifiedSinceMicros) {
        Listing listing = server.listing;
        if (state != EndpointState.LIVE && listing.state == EndpointState.LIVE) {
            long oldest = context.nowMicros() - context.settings().rules().drainGraceMicros();
            listing.drainNotifiedMicros = Math.min(context.nowMicros(), Math.max(oldest, notifiedSinceMicros));
        }
        listing.state = state;
        if (state == EndpointState.DEPARTED) {
            primaries.serverDeparted(server);
        }
    }

    /** A later start means a new process: cold, and without the role that the one before had. */
    private void setStarted(Server server, long startedMicros) {
        if (startedMicros > server.listing.startedMicros) {
            server.listing.startedMicros = startedMicros;
            slowStart.begin(server, startedMicros);
            primaries.serverRestarted(server, startedMicros);
        }
    }

    /** Forgets servers that departed long ago and have nothing in flight: each deployment brings new ids. */
    void forgetDeparted() {
        servers.removeServersIf(server -> server.listing.state == EndpointState.DEPARTED
                && server.inFlight.isEmpty()
                && context.nowMicros() > server.listing.drainNotifiedMicros + DEPARTED_RETENTION_MICROS);
    }
}
