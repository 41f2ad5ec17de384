package lupinvalve.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.log.Log;
import lupinvalve.net.InMemoryDialer;
import lupinvalve.net.Pool;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import lupinvalve.warmup.ClientScript;
import lupinvalve.warmup.NodeScript;

/**
 * Runs requests through a temporary pooler, complete except for the sockets, so that the first clients do not run into
 * code that is not compiled yet: such code takes several times the share of a core that a pooler has, and the core
 * thread falls behind.
 */
final class WarmUp {
    static final int FULL_REQUESTS_COUNT = 600;
    static final int REDUCED_REQUESTS_COUNT = 60;
    /**
     * CPU time of a request while the code is cold, and the share of a pooler's CPU limit that cold requests may take.
     * At a higher request rate, a pooler that is not warmed up falls behind; at a lower one, a full warm-up only delays
     * the start, and after a release most of a fleet starts at once.
     */
    private static final double COLD_REQUEST_SECONDS = 0.004;

    private static final double COLD_REQUESTS_CPU_RATIO = 0.9;

    private static final int CLIENTS_COUNT = 4;
    private static final int GROUP_ID = 1;
    private static final int PRIMARY_PORT = 1;
    private static final int REPLICA_PORT = 2;
    /** Limit of client connections, and of connections to db nodes. */
    private static final int MAX_CONNECTIONS_COUNT = 16;
    /** Time limit of the warm-up: on a machine so slow that this is not enough, it is better to start serving. */
    private static final long MAX_DURATION_MILLIS = 2_000;

    private WarmUp() {}

    /** Number of requests for the warm-up. */
    static int requests(double ratePerSecond, double cores) {
        return ratePerSecond > 0 && ratePerSecond * COLD_REQUEST_SECONDS < cores * COLD_REQUESTS_CPU_RATIO
                ? REDUCED_REQUESTS_COUNT
                : FULL_REQUESTS_COUNT;
    }

    /** Runs the warm-up; returns the number of requests that were served. */
    static int run(NodeConfig config) {
        return run(config, requests(config.site().ratePerSecond(), config.cores()));
    }

    static int run(NodeConfig config, int requests) {
        EventLoop loop = new EventLoop();
        Pooler pooler = new Pooler(loop, config.site().settings());
        pooler.discovery(new StaticDiscovery());
        PgFront front = new PgFront(pooler, MAX_CONNECTIONS_COUNT);
        InMemoryDialer net = new InMemoryDialer(loop, address -> new NodeScript(address.getPort() == PRIMARY_PORT));
        pooler.addBackend(
                PgFront.PROTOCOL,
                new PgBackend(
                        net,
                        pooler,
                        new Pool.Bounds(
                                MAX_CONNECTIONS_COUNT,
                                config.site().connectMicros(),
                                config.site().keepaliveMicros(),
                                config.site().connectMicros()),
                        "api",
                        "ledger"));
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        for (int port : List.of(PRIMARY_PORT, REPLICA_PORT)) {
            entries.add(new DiscoveredEndpoint(
                    new Endpoint("n" + port, GROUP_ID, 0, EndpointState.LIVE, port == PRIMARY_PORT, 0),
                    Map.of(PgFront.PROTOCOL, "127.0.0.1:" + port)));
        }
        CountDownLatch remaining = new CountDownLatch(requests);
        // Complete before the core thread uses it, since this thread reads it even if the time limit expires first.
        List<ClientScript> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_COUNT; i++) {
            clients.add(
                    new ClientScript(config.site().settings().classes(), "w" + i, requests / CLIENTS_COUNT, remaining));
        }
        try {
            loop.start();
            // Log lines of this pooler could be mistaken for those of the serving one, which already calls discovery.
            loop.post(() -> Log.setThreadLevel(Log.Level.ERROR));
            loop.post(() -> {
                pooler.start(1, List.of());
                pooler.onEndpointListEvent(new EndpointListEvent(ListForm.FULL, entries));
                for (ClientScript client : clients) {
                    net.connect(front.framer(), front, client, ClientScript.startupMessage());
                }
            });
            remaining.await(MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.stop();
        }
        return clients.stream().mapToInt(ClientScript::served).sum();
    }

    /** Discovery without updates: the list is passed to the pooler directly. */
    private static final class StaticDiscovery implements EndpointDiscovery {
        @Override
        public void subscribe(boolean active) {
            // No discovery service to call.
        }

        @Override
        public void fetch() {
            // No discovery service to call.
        }
    }
}
