package lupinvalve.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinvalve.admin.AdminCommands;
import lupinvalve.admin.AdminServer;
import lupinvalve.config.NodeConfig;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.DiscoveryReadiness;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.discovery.DnsEndpointDiscovery;
import lupinvalve.discovery.EndpointListReader;
import lupinvalve.discovery.HttpEndpointDiscovery;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ClientDrain;
import lupinvalve.mysql.MysqlBackend;
import lupinvalve.mysql.MysqlFront;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;
import lupinvalve.net.Pool;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.RaftMember;
import lupinvalve.routing.RequestClass;

/** One pooler with all its parts. */
public final class Daemon {
    /** The platform kills a pooler so long after SIGTERM and the longest deadline, which counts as 3 s at most. */
    private static final long KILL = 700_000, LONGEST = 3_000_000;
    /** Before that all is answered; and before that again nothing new is taken. */
    private static final long ANSWERED = 250_000, LAST_CALL = 400_000;
    /**
     * Descriptors kept for files, listeners, discovery and the JVM; of these, connections on their way out may take
     * some.
     */
    private static final int SPARE = 64, PARTING = 16;

    private static final long PROBE = 250_000;
    /** How long threads of sockets may take to end: less than a halt would wait for them. */
    private static final long THREADS_MILLIS = 60;
    /** How often it is looked whether all has ended, and how often that must be so in turn. */
    private static final long SETTLE = 10_000;

    private static final int QUIET = 5;
    /**
     * How long a start waits for discovery's first word, from when it was asked. Changes bind 6 s after discovery had
     * them, so the list in the file may name db nodes that must not be used any more; nine in ten starts have to be
     * over within 10 s.
     */
    private static final long FIRST_WORD_MILLIS = 4_000;

    private final NodeConfig config;
    private final EventLoop loop = new EventLoop();
    private final Net net = new Net(loop);
    /**
     * For discovery alone, with a thread of its own: a departure binds 250 ms after it was told, and the moment after a
     * start, when clients come at once and code is cold, had lists wait longer than that behind requests.
     */
    private final Net listing = new Net(loop, true);

    private final Pooler pooler;
    private final PgFront front;
    // One of them is the directory.
    private HttpEndpointDiscovery http;
    private DnsEndpointDiscovery dns;
    private volatile Net.Listener listener;
    // What an operator may turn on.
    private OperatorConfig operator;
    private final OperatorConfig local;
    private MysqlFront mysql;
    private MysqlBackend mysqlNodes;
    private volatile Net.Listener mysqlListener;
    private Operations operations;
    private AdminServer door;
    private final List<Pool> pools = new ArrayList<>();
    private Shared shared;
    private Late late;
    private boolean started;

    public Daemon(NodeConfig config, OperatorConfig file) throws IOException {
        this(config, file, null);
    }

    /** @param folder that two processes of this pooler share during an upgrade, or null */
    public Daemon(NodeConfig config, OperatorConfig file, Path folder) throws IOException {
        this(config, file, folder, null);
    }

    /** Opens a member's or a subscriber's folder and takes part in its group. */
    interface Opening {
        ControlPlane open(OperatorConfig.Store config) throws IOException;
    }

    /** @param opening null for the program's own; no class of a group is touched where there is no store */
    Daemon(NodeConfig config, OperatorConfig file, Path folder, Opening opening) throws IOException {
        this.config = config;
        operator = file;
        local = file;
        pooler = new Pooler(loop, config.site().settings());
        if (operator.store() != null) {
            shared = new Shared(pooler, operator.store(), opening, this::adopted, this::held);
            operator = local.accepted(shared.document());
            if (shared.plane().fencingEnabled()) {
                pooler.fence(shared.plane()::mayServe);
                net.fence(shared.plane()::mayServe);
            }
        }
        // Two fronts and two pools share the sockets that one of each would have.
        int parts = file.mysql() == null ? 1 : 2;
        int sockets = Math.max(64, config.sockets() - SPARE);
        net.setMaxConnections(sockets + PARTING);
        int clients = Math.min(600, sockets * 5 / 9) / parts;
        front = new PgFront(pooler, clients);
        Pool.Bounds bounds = new Pool.Bounds(
                Math.min(480, sockets * 4 / 9) / parts,
                config.site().connectMicros(),
                config.site().keepaliveMicros() * 7 / 10,
                PROBE);
        backend(PgFront.PROTOCOL, new PgBackend(net, pooler, bounds, "api", "ledger"));
        if (file.mysql() != null) {
            // Where a group keeps the configuration, the one accepted has the accounts, and there may be none yet.
            OperatorConfig.Mysql m = operator.mysql() == null ? file.mysql() : operator.mysql();
            mysql = new MysqlFront(pooler, clients, m.user(), m.password());
            mysqlNodes = new MysqlBackend(net, pooler, bounds, m.nodeUser(), m.nodePassword(), m.database());
            backend(MysqlFront.PROTOCOL, mysqlNodes);
        }
        pooler.discovery(directory());
        if (config.operator() != null) {
            // Poolers of other names may share the folder where it is no pooler's own.
            Path stem = folder == null
                    ? null
                    : folder.resolve("lupinvalve-" + config.name().replaceAll("[^A-Za-z0-9_.-]", "_"));
            operations = new Operations(
                    pooler,
                    stem,
                    this::endConnections,
                    another -> pools.forEach(pool -> pool.setOtherProcessRunning(another)));
            door = new AdminServer(new AdminCommands(operations));
        }
    }

    private void backend(String protocol, Pool pool) {
        pools.add(pool);
        pooler.addBackend(protocol, pool);
    }

    private void endConnections() {
        front.close();
        if (mysql != null) {
            mysql.close();
        }
    }

    /**
     * A configuration that a majority has accepted: accounts and resolver hold at once, the rest from the next start.
     */
    private void adopted(byte[] document) {
        try {
            OperatorConfig before = operator;
            operator = local.accepted(document);
            OperatorConfig.Mysql m = operator.mysql();
            if (m != null) {
                mysql.account(m.user(), m.password());
                mysqlNodes.account(m.nodeUser(), m.nodePassword(), m.database());
                if (started) {
                    listenMysql();
                }
            }
            OperatorConfig.DnsSd place = operator.dnsSd();
            if (place != null && dns != null) {
                dns.move(Addresses.parse(place.resolver()), place.service(), place.pollMicros());
            } else if (place != null && late != null) {
                late.is(dnsDirectory(place));
            } else if (place == null != (before.dnsSd() == null)) {
                Log.warn("configuration: where db nodes are learnt from holds from the next start");
            }
        } catch (IOException | RuntimeException e) {
            Log.error("configuration: %s", e.getMessage());
        }
    }

    private void held(boolean byGroup) {
        if (operations != null) {
            operations.held(byGroup);
        }
        pooler.clientDrain().setDrainedByGroup(byGroup, loop.now());
        if (byGroup) {
            loop.after(ClientDrain.CLOSE_DELAY_MICROS, this::endConnections);
        }
    }

    /** Asks nobody, until it is known whom. */
    private static final class Late implements EndpointDiscovery {
        private EndpointDiscovery is;
        private boolean active, wanted;

        void is(EndpointDiscovery known) {
            is = known;
            if (active) {
                is.subscribe(true);
            } else if (wanted) {
                is.fetch();
            }
        }

        @Override
        public void subscribe(boolean on) {
            active = on;
            if (is != null) {
                is.subscribe(on);
            }
        }

        @Override
        public void fetch() {
            wanted = true;
            if (is != null) {
                is.fetch();
            }
        }
    }

    private EndpointDiscovery directory() {
        Integer port = operator.mysql() == null ? null : operator.mysql().nodePort();
        if (operator.dnsSd() != null) {
            return dnsDirectory(operator.dnsSd());
        }
        if (config.discovery() == null && shared != null) {
            late = new Late();
            return late;
        }
        if (config.discovery() == null) {
            throw new IllegalArgumentException("no discovery in the configuration and no dns_sd");
        }
        http = new HttpEndpointDiscovery(
                listing,
                pooler,
                Addresses.parse(config.discovery()),
                new EndpointListReader(config.site().zones(), port),
                config.known().revision());
        return http;
    }

    private DnsEndpointDiscovery dnsDirectory(OperatorConfig.DnsSd place) {
        dns = new DnsEndpointDiscovery(
                pooler,
                Addresses.parse(place.resolver()),
                place.service(),
                place.pollMicros(),
                operator.mysql() == null ? 3306 : operator.mysql().nodePort(),
                config.site().zones());
        return dns;
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
        // What a group keeps is not changed by one member's file.
        InetSocketAddress resolver =
                dns != null && place != null && shared == null ? Addresses.parse(place.resolver()) : null;
        if (at != null && at.isUnresolved() || resolver != null && resolver.isUnresolved()) {
            throw new IllegalArgumentException("not a literal address: " + (at != null ? at : resolver));
        }
        if (!next.site().equals(config.site())
                || !next.listen().equals(config.listen())
                || next.sockets() != config.sockets()
                || next.memoryMb() != config.memoryMb()) {
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
            if (mysql != null && nextOperator.mysql() != null && shared == null) {
                mysql.account(nextOperator.mysql().user(), nextOperator.mysql().password());
            }
        });
    }

    /** Starts serving; returns once the port is open. */
    public void start() throws IOException, InterruptedException {
        if (door != null) {
            try {
                door.bind(config.operator());
            } catch (IOException e) {
                throw new IOException("operator: " + config.operator() + " can't be listened on: " + e.getMessage(), e);
            }
        }
        if (operations != null) {
            // Operators may call from now on, and each call must be answered within a second.
            operations.start();
        }
        // Discovery is asked first: its answer comes while the code warms up.
        startCore();
        long asked = System.nanoTime();
        WarmUp.run(config);
        if (shared != null) {
            shared.start();
        }
        awaitFirstWord(asked);
        if (shared == null) {
            listenMysql();
        } else {
            listenOnceAccepted();
        }
        listener = net.listen(Addresses.parse(config.listen()), operations != null, front::framer, front);
        if (operations != null) {
            operations.serves(true);
            Log.info("%s answers operators on %s", config.name(), door.address());
        }
        Log.info(
                "%s listens on %s:%d",
                config.name(), address().getHostString(), address().getPort());
    }

    /**
     * Guards against requests routed by the list in the file, which is as old as this process's start and what came
     * before it took together. Where discovery turns calls down the list serves at once, as it has told nobody anything
     * newer.
     */
    private void awaitFirstWord(long askedNanos) throws InterruptedException {
        if (http == null && dns == null) {
            return;
        }
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedNanos);
        DiscoveryReadiness.Outcome outcome = pooler.discoveryReadiness().await(FIRST_WORD_MILLIS - passed);
        if (outcome != DiscoveryReadiness.Outcome.LIST_RECEIVED) {
            Log.warn(
                    "discovery: %s after %d ms: %s serves from the list of its file, revision %d",
                    outcome,
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedNanos),
                    config.name(),
                    config.known().revision());
        }
    }

    /** Opens the MySQL front, unless it is open. */
    private void listenMysql() throws IOException {
        if (mysql != null
                && mysqlListener == null
                && operator.mysql() != null
                && operator.mysql().listen() != null) {
            mysqlListener =
                    net.listen(Addresses.parse(operator.mysql().listen()), operations != null, mysql::framer, mysql);
            Log.info("%s speaks MySQL on %s", config.name(), mysqlListener.address());
        }
    }

    /** Without an accepted configuration there are no accounts that the front could let in. */
    private void listenOnceAccepted() throws InterruptedException {
        CountDownLatch looked = new CountDownLatch(1);
        loop.post(() -> {
            started = true;
            try {
                listenMysql();
            } catch (IOException e) {
                Log.error("mysql.listen: %s", e.getMessage());
            }
            if (mysql != null && mysqlListener == null) {
                Log.warn("MySQL is not served yet: no configuration was accepted by a majority");
            }
            looked.countDown();
        });
        looked.await();
    }

    private void startCore() {
        loop.start();
        loop.post(() -> {
            List<DiscoveredEndpoint> known = config.known().entries();
            pooler.start(config.seed(), known.isEmpty() && shared != null ? shared.entries() : known);
            if (shared != null) {
                shared.follow();
            }
            if (operations != null) {
                pooler.publishMetrics();
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
        return mysqlListener == null ? null : mysqlListener.address();
    }

    /** Where a member listens; null at a subscriber. */
    public InetSocketAddress storeAddress() {
        return shared.plane() instanceof RaftMember group ? group.address() : null;
    }

    /** Reads keys and certificates anew; from any thread. Throws, and changes nothing, where they can't be used. */
    public void rekey() throws IOException {
        if (shared != null) {
            shared.plane().reloadCertificates();
        }
    }

    /**
     * Ends without losing what was taken; {@code then} runs when all is answered. Where another process of this pooler
     * serves, the port closes at once. Else clients use the connections they have for as long as these stay open, and
     * find nobody once they are closed: so requests are taken for as long as they can be answered before the platform
     * kills the program, and the wait of those that come late is cut to that.
     */
    public void drain(Runnable then) {
        boolean succeeded = operations != null && operations.succeeded();
        loop.post(() -> {
            Log.info(
                    "ending%s: %d requests, %d clients",
                    succeeded ? " after a successor's start" : "", pooler.openRequests(), front.open());
            long longest = 0;
            for (RequestClass kind : config.site().settings().classes()) {
                longest = Math.max(longest, kind.deadlineMicros());
            }
            long left = Math.min(longest, LONGEST) + KILL - ANSWERED;
            pooler.answerBy(loop.now() + left);
            if (operations != null) {
                operations.serves(false);
            }
            if (listener == null) {
                // The start failed, or was not over: nobody was let in, and nobody waits for an answer.
                then.run();
            } else if (succeeded) {
                leave(then);
            } else {
                loop.after(left - LAST_CALL, () -> leave(then));
            }
        });
    }

    private void leave(Runnable then) {
        pooler.clientDrain().shutDown();
        listener.stop(() -> {
            endConnections();
            settle(then, 0);
        });
        if (mysqlListener != null) {
            mysqlListener.stop();
        }
    }

    /**
     * Ends once nothing is due any more. There is no bound: what the program leaves unanswered by its own end is lost,
     * while what SIGKILL finds unanswered is not, if it came early enough.
     */
    private void settle(Runnable then, int quiet) {
        // A connection that its front has ended may still have its last answer with MINA's thread, for as long as that
        // thread gets no time or the client does not read.
        boolean over = pooler.openRequests() == 0
                && front.open() == 0
                && (mysql == null || mysql.open() == 0)
                && listener.open() == 0
                && (mysqlListener == null || mysqlListener.open() == 0);
        if (over && quiet >= QUIET) {
            // The last connections taken have been heard of by now.
            then.run();
        } else {
            loop.after(SETTLE, () -> settle(then, over ? quiet + 1 : 0));
        }
    }

    /** Ends the part in the group; from any thread but the core's. */
    public void leaveGroup() {
        if (shared != null) {
            shared.plane().stop();
        }
    }

    /**
     * Drops everything and waits a moment for the threads of all sockets. A JVM that is halted waits 0.3 s for those
     * that wait in the system, and SIGKILL may come sooner.
     */
    public void stopWithThreads() throws InterruptedException {
        stop();
        for (Net each : List.of(net, listing)) {
            if (!each.awaitEnd(THREADS_MILLIS)) {
                Log.info("threads of sockets have not ended in %d ms", THREADS_MILLIS);
            }
        }
    }

    /** Drops everything at once, as if killed. */
    public void stop() {
        leaveGroup();
        if (door != null) {
            door.close();
            operations.stop();
        }
        net.close();
        listing.close();
        loop.stop();
    }
}
