package lupinvalve.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.Router;
import lupinvalve.Routing;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.Directory;
import lupinvalve.core.Loop;
import lupinvalve.core.Pooler;
import lupinvalve.discovery.HttpDirectory;
import lupinvalve.discovery.ListReader;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;
import lupinvalve.net.Pool;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;

/** One pooler with all its parts. */
public final class Daemon {
    /** After SIGTERM, how long new work is still taken. */
    private static final long LINGER = 700_000;
    /** Descriptors kept for files, listeners, discovery and the JVM. */
    private static final int SPARE = 64;
    private static final long PROBE = 250_000;
    private final NodeConfig config;
    private final Loop loop = new Loop();
    private final Net net = new Net(loop);
    private final Pooler pooler;
    private final PgFront front;
    private Net.Listener listener;

    public Daemon(NodeConfig config) {
        this.config = config;
        pooler = new Pooler(loop, config.site().settings());
        int sockets = Math.max(64, config.sockets() - SPARE);
        front = new PgFront(pooler, Math.min(600, sockets * 5 / 9));
        int conns = Math.min(480, sockets * 4 / 9);
        Pool.Bounds bounds = new Pool.Bounds(conns, config.site().connectMicros(),
                config.site().keepaliveMicros() * 7 / 10, PROBE);
        pooler.backend(PgFront.PROTOCOL, new PgBackend(net, pooler, bounds, "api", "ledger"));
        pooler.directory(directory());
    }

    private Directory directory() {
        ListReader reader = new ListReader(config.site().zones(), null);
        return new HttpDirectory(net, pooler, Addresses.parse(config.discovery()), reader,
                config.known().revision());
    }

    /** Starts serving; returns once the port is open. */
    public void start() throws IOException {
        warmUp();
        loop.start();
        loop.post(() -> pooler.start(config.seed(), config.known().entries()));
        listener = net.listen(Addresses.parse(config.listen()), front::framer, front);
        Log.info("%s listens on %s", config.name(), config.listen());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Ends without losing what was taken; {@code then} runs when all is answered. */
    public void drain(Runnable then) {
        loop.post(() -> {
            Log.info("draining: %d requests, %d clients", pooler.open(), front.open());
            loop.after(LINGER, () -> {
                listener.stop();
                front.close();
                settle(then);
            });
        });
    }

    private void settle(Runnable then) {
        if (pooler.open() == 0 && front.open() == 0) {
            // The last answers are with MINA's thread; it hands them to the sockets in no time.
            loop.after(50_000, then);
        } else {
            loop.after(10_000, () -> settle(then));
        }
    }

    public void stop() {
        net.close();
        loop.stop();
    }

    /**
     * Runs the decisions' code on a router that is thrown away, so that the first clients don't meet it uncompiled:
     * a cold JVM takes tens of milliseconds for its first requests.
     */
    private void warmUp() {
        List<Routing.Member> members = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            members.add(new Routing.Member("n" + i, 1, 0, Routing.Health.LIVE, i == 0, 0));
        }
        List<Routing.Action> actions = new ArrayList<>();
        long now = loop.now();
        Router router = new Router(1, config.site().settings(), now, actions::add);
        router.handle(now, new Routing.Members(Routing.ListForm.FULL, members), actions::add);
        int classes = config.site().settings().classes().size();
        for (int i = 0; i < 20_000; i++) {
            now += 3_000;
            actions.clear();
            String id = Integer.toHexString(i);
            router.handle(now, new Routing.Request(id, i % classes, false, "s" + i % 50, i % 3 * 1000, 1,
                    500_000), actions::add);
            for (Routing.Action action : List.copyOf(actions)) {
                if (action instanceof Routing.Send send) {
                    router.handle(now + 1000, new Routing.Outcome(id, 0, send.node(), Routing.Ending.SERVED, 50_000,
                            true, now, send.node().equals("n0") ? Routing.Role.PRIMARY : Routing.Role.REPLICA),
                            actions::add);
                }
            }
            router.handle(now + 2000, new Routing.TimerFired(0), actions::add);
        }
    }
}
