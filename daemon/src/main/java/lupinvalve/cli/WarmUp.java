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
 * Runs requests through a pooler that is thrown away, all of it but the sockets, so that the first clients don't meet
 * code that is not compiled yet: it takes several times the part of a core that a pooler has, and the core falls
 * behind.
 */
final class WarmUp {
    static final int MANY = 600, FEW = 60;
    /**
     * Seconds of a core that a request costs while the code is cold, and the part of a pooler's core that may go into
     * it. Where clients bring more than that, a pooler that has not warmed up falls behind; where they bring less, what
     * the warm-up takes is time in which nobody is served at all, and after a release most of a fleet starts at once.
     */
    private static final double COLD = 0.004, COLD_PART = 0.9;

    private static final int CLIENTS = 4, GROUP = 1, PRIMARY = 1, REPLICA = 2;
    /** A machine so slow that this is not enough does better to serve. */
    private static final long MOST_MILLIS = 2_000;

    private WarmUp() {}

    /** How many requests to warm up with. */
    static int requests(double ratePerSecond, double cores) {
        return ratePerSecond > 0 && ratePerSecond * COLD < cores * COLD_PART ? FEW : MANY;
    }

    /** Gives how many requests were served. */
    static int run(NodeConfig config) {
        return run(config, requests(config.site().ratePerSecond(), config.cores()));
    }

    static int run(NodeConfig config, int requests) {
        EventLoop loop = new EventLoop();
        Pooler pooler = new Pooler(loop, config.site().settings());
        pooler.discovery(new Silent());
        PgFront front = new PgFront(pooler, 16);
        InMemoryDialer net = new InMemoryDialer(loop, address -> new NodeScript(address.getPort() == PRIMARY));
        pooler.addBackend(
                PgFront.PROTOCOL,
                new PgBackend(
                        net,
                        pooler,
                        new Pool.Bounds(
                                16,
                                config.site().connectMicros(),
                                config.site().keepaliveMicros(),
                                config.site().connectMicros()),
                        "api",
                        "ledger"));
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        for (int port : List.of(PRIMARY, REPLICA)) {
            entries.add(new DiscoveredEndpoint(
                    new Endpoint("n" + port, GROUP, 0, EndpointState.LIVE, port == PRIMARY, 0),
                    Map.of(PgFront.PROTOCOL, "127.0.0.1:" + port)));
        }
        CountDownLatch left = new CountDownLatch(requests);
        // Whole before the core thread sees it: it is read here even if the time runs out first.
        List<ClientScript> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new ClientScript(config.site().settings().classes(), "w" + i, requests / CLIENTS, left));
        }
        try {
            loop.start();
            // What this pooler says would be taken for the word of the one that serves, which has begun to ask
            // discovery.
            loop.post(() -> Log.setThreadLevel(Log.Level.ERROR));
            loop.post(() -> {
                pooler.start(1, List.of());
                pooler.onEndpointListEvent(new EndpointListEvent(ListForm.FULL, entries));
                for (ClientScript client : clients) {
                    net.connect(front.framer(), front, client, ClientScript.startupMessage());
                }
            });
            left.await(MOST_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.stop();
        }
        return clients.stream().mapToInt(ClientScript::served).sum();
    }

    /** No news: the list is given once. */
    private static final class Silent implements EndpointDiscovery {
        @Override
        public void subscribe(boolean active) {
            // Nothing to ask.
        }

        @Override
        public void fetch() {
            // Nothing to ask.
        }
    }
}
