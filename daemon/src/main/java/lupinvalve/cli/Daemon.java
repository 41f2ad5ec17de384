package lupinvalve.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinvalve.Routing;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.Directory;
import lupinvalve.core.Loop;
import lupinvalve.core.Pooler;
import lupinvalve.discovery.DnsDirectory;
import lupinvalve.discovery.HttpDirectory;
import lupinvalve.discovery.ListReader;
import lupinvalve.door.Calls;
import lupinvalve.door.Door;
import lupinvalve.log.Log;
import lupinvalve.mysql.MysqlBackend;
import lupinvalve.mysql.MysqlFront;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;
import lupinvalve.net.Pool;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;
import lupinvalve.store.Replicator;
import lupinvalve.store.Store;
import lupinvalve.store.StoreFile;

/** One pooler with all its parts. */
public final class Daemon {
    /** The platform kills a pooler so long after SIGTERM and the longest deadline, which counts as 3 s at most. */
    private static final long KILL = 700_000, LONGEST = 3_000_000;
    /** Before that all is answered; and before that again nothing new is taken. */
    private static final long ANSWERED = 250_000, LAST_CALL = 400_000;
    /** Descriptors kept for files, listeners, discovery and the JVM. */
    private static final int SPARE = 64;
    private static final long PROBE = 250_000;
    /** How often it is looked whether all has ended, and how often that must be so in turn. */
    private static final long SETTLE = 10_000;
    private static final int QUIET = 5;
    /** How long a start waits for discovery's first word while another process serves. */
    private static final long INFORMED_MILLIS = 1_500;
    private static final String DOCUMENT = "operator";
    private final NodeConfig config;
    private final Loop loop = new Loop();
    private final Net net = new Net(loop);
    /**
     * For discovery alone, with a thread of its own: a departure binds 250 ms after it was told, and the moment after a
     * start, when clients come at once and code is cold, had lists wait longer than that behind requests.
     */
    private final Net listing = new Net(loop, true);
    private final Pooler pooler;
    private final PgFront front;
    // One of them is the directory.
    private HttpDirectory http;
    private DnsDirectory dns;
    private Net.Listener listener;
    // What an operator may turn on.
    private OperatorConfig operator;
    private MysqlFront mysql;
    private Net.Listener mysqlListener;
    private Operations operations;
    private Door door;
    private final List<Pool> pools = new ArrayList<>();
    private StoreFile file;
    private Replicator replicator;

    public Daemon(NodeConfig config, OperatorConfig file) throws IOException {
        this(config, file, null);
    }

    /** @param shared folder that two processes of this pooler share during an upgrade, or null */
    public Daemon(NodeConfig config, OperatorConfig file, Path shared) throws IOException {
        this.config = config;
        operator = file;
        pooler = new Pooler(loop, config.site().settings());
        if (operator.store() != null) {
            openStore();
        }
        // Two fronts and two pools share the sockets that one of each would have.
        int parts = operator.mysql() == null ? 1 : 2;
        int sockets = Math.max(64, config.sockets() - SPARE);
        int clients = Math.min(600, sockets * 5 / 9) / parts;
        front = new PgFront(pooler, clients);
        Pool.Bounds bounds = new Pool.Bounds(Math.min(480, sockets * 4 / 9) / parts, config.site().connectMicros(),
                config.site().keepaliveMicros() * 7 / 10, PROBE);
        backend(PgFront.PROTOCOL, new PgBackend(net, pooler, bounds, "api", "ledger"));
        if (operator.mysql() != null) {
            OperatorConfig.Mysql m = operator.mysql();
            mysql = new MysqlFront(pooler, clients, m.user(), m.password());
            backend(MysqlFront.PROTOCOL,
                    new MysqlBackend(net, pooler, bounds, m.nodeUser(), m.nodePassword(), m.database()));
        }
        pooler.directory(directory());
        if (config.operator() != null) {
            // Poolers of other names may share the folder where it is no pooler's own.
            Path stem = shared == null ? null
                    : shared.resolve("lupinvalve-" + config.name().replaceAll("[^A-Za-z0-9_.-]", "_"));
            operations = new Operations(pooler, stem, this::endConnections,
                    another -> pools.forEach(pool -> pool.beside(another)));
            door = new Door(new Calls(operations));
        }
    }

    private void backend(String protocol, Pool pool) {
        pools.add(pool);
        pooler.backend(protocol, pool);
    }

    private void endConnections() {
        front.close();
        if (mysql != null) {
            mysql.close();
        }
    }

    /** The store first: the operator's document of the highest revision says how the rest is set up. */
    private void openStore() throws IOException {
        Store store = new Store(loop, operator.store().name());
        file = new StoreFile(loop, store, operator.store().folder());
        file.open();
        store.put(DOCUMENT, operator.revision(), operator.shared());
        operator = operator.with(store.document(DOCUMENT));
        store.watch(DOCUMENT, this::changed);
        replicator = new Replicator(net, loop, store, operator.store().secret());
        pooler.marks(store);
    }

    /** A later document has come from another replica: the account holds at once, the rest at the next start. */
    private void changed(byte[] document) {
        try {
            operator = operator.with(document);
            if (mysql != null && operator.mysql() != null) {
                mysql.account(operator.mysql().user(), operator.mysql().password());
            }
            Log.info("operator's document, revision %d: account taken over, the rest at the next start",
                    operator.revision());
        } catch (IOException e) {
            Log.warn("operator's document: %s", e.getMessage());
        }
    }

    private Directory directory() {
        Integer port = operator.mysql() == null ? null : operator.mysql().nodePort();
        if (operator.dnsSd() != null) {
            dns = new DnsDirectory(pooler, Addresses.parse(operator.dnsSd().resolver()),
                    operator.dnsSd().service(), operator.dnsSd().pollMicros(), port == null ? 3306 : port,
                    config.site().zones());
            return dns;
        }
        if (config.discovery() == null) {
            throw new IllegalArgumentException("no discovery in the configuration and no dns_sd");
        }
        http = new HttpDirectory(listing, pooler, Addresses.parse(config.discovery()),
                new ListReader(config.site().zones(), port), config.known().revision());
        return http;
    }

    /**
     * Takes over a file read anew while requests go on: where discovery is. What the tables and the module were built
     * from holds from the next start. Both files have been checked by then; from any thread.
     *
     * @throws IllegalArgumentException where an address in them is none, and nothing is taken over
     */
    public void reconfigure(NodeConfig next, OperatorConfig nextOperator) {
        OperatorConfig.DnsSd place = nextOperator.dnsSd();
        InetSocketAddress at = http != null && next.discovery() != null ? Addresses.parse(next.discovery()) : null;
        InetSocketAddress resolver = dns != null && place != null ? Addresses.parse(place.resolver()) : null;
        if (at != null && at.isUnresolved() || resolver != null && resolver.isUnresolved()) {
            throw new IllegalArgumentException("not a literal address: " + (at != null ? at : resolver));
        }
        if (!next.site().equals(config.site()) || !next.listen().equals(config.listen())
                || next.sockets() != config.sockets() || next.memoryMb() != config.memoryMb()) {
            Log.warn("configuration: settings, limits and listen hold from the next start");
        }
        loop.post(() -> {
            if (at != null) {
                Log.info("configuration: discovery is at %s", next.discovery());
                http.move(at);
            }
            if (resolver != null) {
                dns.move(resolver, place.service(), place.pollMicros());
            }
            if (mysql != null && nextOperator.mysql() != null && file == null) {
                mysql.account(nextOperator.mysql().user(), nextOperator.mysql().password());
            }
        });
    }

    /** Starts serving; returns once the port is open. */
    public void start() throws IOException, InterruptedException {
        if (door != null) {
            try {
                door.listen(config.operator());
            } catch (IOException e) {
                throw new IOException("operator: " + config.operator() + " can't be listened on: " + e.getMessage(), e);
            }
        }
        CountDownLatch informed = new CountDownLatch(1);
        pooler.onceInformed(informed::countDown);
        if (operations != null) {
            // Operators may call from now on, and each call must be answered within a second.
            operations.start();
            startCore();
            WarmUp.run(config);
        } else {
            WarmUp.run(config);
            startCore();
        }
        if (replicator != null) {
            replicator.listen(Addresses.parse(operator.store().listen()));
            loop.post(() -> operator.store().peers().forEach(peer -> replicator.peer(Addresses.parse(peer))));
        }
        if (operations != null && operations.succeeded()) {
            // Somebody serves meanwhile, so there is time to learn what has changed since the list was written down.
            informed.await(INFORMED_MILLIS, TimeUnit.MILLISECONDS);
        }
        boolean shared = operations != null;
        if (mysql != null && operator.mysql().listen() != null) {
            mysqlListener = net.listen(Addresses.parse(operator.mysql().listen()), shared, mysql::framer, mysql);
            Log.info("%s speaks MySQL on %s", config.name(), mysqlListener.address());
        }
        listener = net.listen(Addresses.parse(config.listen()), shared, front::framer, front);
        if (operations != null) {
            operations.serves(true);
            Log.info("%s answers operators on %s", config.name(), door.address());
        }
        Log.info("%s listens on %s:%d", config.name(), address().getHostString(), address().getPort());
    }

    private void startCore() {
        loop.start();
        loop.post(() -> {
            pooler.start(config.seed(), config.known().entries());
            if (operations != null) {
                pooler.count();
            }
        });
    }

    public InetSocketAddress doorAddress() {
        return door.address();
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    public InetSocketAddress mysqlAddress() {
        return mysqlListener.address();
    }

    public InetSocketAddress storeAddress() {
        return replicator.address();
    }

    /** Adds a replica of the store to those that the operator's file names. */
    public void peer(InetSocketAddress address) {
        loop.post(() -> replicator.peer(address));
    }

    /**
     * Ends without losing what was taken; {@code then} runs when all is answered. Where another process of this pooler
     * serves, the port closes at once. Else clients use the connections they have for as long as these stay open, and find
     * nobody once they are closed: so requests are taken for as long as they can be answered before the platform kills
     * the program, and the wait of those that come late is cut to that.
     */
    public void drain(Runnable then) {
        boolean succeeded = operations != null && operations.succeeded();
        loop.post(() -> {
            Log.info("ending%s: %d requests, %d clients", succeeded ? " after a successor's start" : "", pooler.open(),
                    front.open());
            long longest = 0;
            for (Routing.RequestClass kind : config.site().settings().classes()) {
                longest = Math.max(longest, kind.deadlineMicros());
            }
            long left = Math.min(longest, LONGEST) + KILL - ANSWERED;
            pooler.lastAnswer(loop.now() + left);
            if (operations != null) {
                operations.serves(false);
            }
            if (succeeded) {
                leave(then);
            } else {
                loop.after(left - LAST_CALL, () -> leave(then));
            }
        });
    }

    private void leave(Runnable then) {
        pooler.drain().leave();
        listener.stop(() -> {
            endConnections();
            settle(then, 0);
        });
        if (mysqlListener != null) {
            mysqlListener.stop();
        }
    }

    private void settle(Runnable then, int quiet) {
        // A connection that its front has ended may still have its last answer with MINA's thread, for as long as that
        // thread gets no time or the client does not read.
        boolean over = pooler.open() == 0 && front.open() == 0 && (mysql == null || mysql.open() == 0)
                && listener.open() == 0 && (mysqlListener == null || mysqlListener.open() == 0);
        if (over && quiet >= QUIET) {
            // The last connections taken have been heard of by now.
            then.run();
        } else {
            loop.after(SETTLE, () -> settle(then, over ? quiet + 1 : 0));
        }
    }

    /** Writes what the store holds; from any thread but the core's. */
    public void save() {
        if (file != null) {
            file.close();
        }
    }

    /** Drops everything at once, as if killed, but for what the store has written. */
    public void stop() {
        loop.post(() -> {
            if (replicator != null) {
                replicator.stop();
            }
        });
        if (door != null) {
            door.stop();
            operations.stop();
        }
        net.close();
        listing.close();
        loop.stop();
    }
}
