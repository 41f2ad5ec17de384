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
import lupinvalve.hotrestart.SentIdsFile;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ClientDrain;
import lupinvalve.maintenance.MemoryBudgets;
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

/** One pooler: creates its components, and starts, reconfigures, drains and stops them. */
public final class Daemon {
    /** The platform sends SIGKILL this long after SIGTERM plus the longest request deadline. */
    private static final long KILL_GRACE_MICROS = 700_000;
    /** The longest request deadline that the platform takes into account for SIGKILL. */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;
    /** All requests are answered this long before SIGKILL. */
    private static final long ANSWER_MARGIN_MICROS = 250_000;
    /** New requests are accepted until this long before all must be answered. */
    private static final long LAST_REQUEST_MARGIN_MICROS = 400_000;
    /** File descriptors reserved for files, listeners, discovery and the JVM. */
    private static final int RESERVED_SOCKETS_COUNT = 64;
    /** The part of the reserved descriptors that connections in the process of closing may use. */
    private static final int CLOSING_SOCKETS_COUNT = 16;

    private static final long HEALTH_CHECK_TIMEOUT_MICROS = 250_000;
    /** Time limit for the end of the I/O threads; shorter than the wait for them in a halt of the JVM. */
    private static final long IO_THREADS_END_MILLIS = 60;
    /** Interval of the checks whether all connections have ended after a drain. */
    private static final long IDLE_CHECK_INTERVAL_MICROS = 10_000;
    /** Number of successive checks that must find no connection and no request. */
    private static final int IDLE_CHECKS_COUNT = 5;
    /**
     * Time limit for the first response of discovery after the call. A change must be in force 6 s after discovery has
     * received it, so the list in the file may contain db nodes that must not be used any more; nine in ten starts must
     * be complete within 10 s.
     */
    private static final long FIRST_LIST_TIMEOUT_MILLIS = 4_000;

    private static final int MYSQL_DEFAULT_PORT = 3306;
    /** A smaller limit on descriptors is treated as this many. */
    private static final int MIN_SOCKETS_COUNT = 64;

    private static final int MAX_CLIENTS_COUNT = 600;
    private static final int MAX_NODE_CONNECTIONS_COUNT = 480;

    private final NodeConfig config;
    private final EventLoop loop = new EventLoop();
    private final MemoryBudgets memory = MemoryBudgets.ofThisProcess();
    private final Net net = new Net(loop, memory);
    /**
     * For discovery alone, with its own I/O thread: a db node's departure must be in force 250 ms after it was
     * notified. On a shared thread, endpoint lists waited longer than that behind requests right after a start, when
     * clients connect at once and the code is not compiled yet.
     */
    private final Net discoveryNet = new Net(loop, true);

    private final Pooler pooler;
    private final PgFront front;
    // At most one of these two is set, by the configured kind of discovery.
    private HttpEndpointDiscovery httpDiscovery;
    private DnsEndpointDiscovery dnsDiscovery;
    private volatile Net.Listener listener;
    /** The operator's configuration in force; the group's accepted document replaces the shared sections. */
    private OperatorConfig operator;
    /** The operator's file as it was read at the start. */
    private final OperatorConfig localConfig;
    // Optional features; null where they are off.
    private MysqlFront mysqlFront;
    private MysqlBackend mysqlBackend;
    private volatile Net.Listener mysqlListener;
    private AdminCommandTarget adminTarget;
    private AdminServer adminServer;
    private final List<Pool> pools = new ArrayList<>();
    private Shared shared;
    private DeferredDiscovery deferredDiscovery;
    private boolean started;

    /** A pooler that shares no directory with another process. */
    public Daemon(NodeConfig config, OperatorConfig operatorFile) throws IOException {
        this(config, operatorFile, null);
    }

    /** @param sharedDirectory directory that two processes of this pooler share during a hot restart, or null */
    public Daemon(NodeConfig config, OperatorConfig operatorFile, Path sharedDirectory) throws IOException {
        this(config, operatorFile, sharedDirectory, null);
    }

    /** Creates the control plane of a member or a subscriber from its configuration. */
    interface ControlPlaneFactory {
        ControlPlane open(OperatorConfig.Store config) throws IOException;
    }

    /**
     * @param factory creates the control plane; null for the program's own member or subscriber. Without a store in the
     *     configuration, no class of the control plane is loaded
     */
    Daemon(NodeConfig config, OperatorConfig operatorFile, Path sharedDirectory, ControlPlaneFactory factory)
            throws IOException {
        this.config = config;
        operator = operatorFile;
        localConfig = operatorFile;
        pooler = new Pooler(loop, config.site().settings(), memory);
        if (operator.store() != null) {
            shared = new Shared(pooler, operator.store(), factory, this::applyAccepted, this::applySelfDrain);
            operator = localConfig.accepted(shared.document());
            if (shared.plane().fencingEnabled()) {
                pooler.fence(shared.plane()::mayServe);
                net.fence(shared.plane()::mayServe);
            }
        }
        // With MySQL on, two frontends and two pools share the descriptors that one of each would have.
        int protocols = operatorFile.mysql() == null ? 1 : 2;
        int sockets = Math.max(MIN_SOCKETS_COUNT, config.sockets() - RESERVED_SOCKETS_COUNT);
        net.setMaxConnections(sockets + CLOSING_SOCKETS_COUNT);
        int clients = Math.min(MAX_CLIENTS_COUNT, sockets * 5 / 9) / protocols;
        int nodeConnections = Math.min(MAX_NODE_CONNECTIONS_COUNT, sockets * 4 / 9) / protocols;
        front = new PgFront(pooler, clients, nodeConnections);
        Pool.Bounds bounds = new Pool.Bounds(
                nodeConnections,
                config.site().connectMicros(),
                config.site().keepaliveMicros() * 7 / 10,
                HEALTH_CHECK_TIMEOUT_MICROS);
        addPool(PgFront.PROTOCOL, new PgBackend(net, pooler, bounds, "api", "ledger"));
        if (operatorFile.mysql() != null) {
            // If a group stores the configuration, the accounts come from the accepted document, which may not exist
            // yet.
            OperatorConfig.Mysql account = operator.mysql() == null ? operatorFile.mysql() : operator.mysql();
            mysqlFront = new MysqlFront(pooler, clients, account.user(), account.password());
            mysqlBackend = new MysqlBackend(
                    net, pooler, bounds, account.nodeUser(), account.nodePassword(), account.database());
            addPool(MysqlFront.PROTOCOL, mysqlBackend);
        }
        pooler.discovery(createDiscovery());
        if (config.operator() != null) {
            // The pooler's name is part of the path: the directory may be shared with other poolers.
            Path stem = sharedDirectory == null
                    ? null
                    : sharedDirectory.resolve("lupinvalve-" + config.name().replaceAll("[^A-Za-z0-9_.-]", "_"));
            if (stem != null) {
                pooler.sentIds(SentIdsFile.open(stem));
            }
            adminTarget = new AdminCommandTarget(
                    pooler,
                    stem,
                    this::endConnections,
                    otherRunning -> pools.forEach(pool -> pool.setOtherProcessRunning(otherRunning)));
            adminServer = new AdminServer(new AdminCommands(adminTarget));
        }
    }

    private void addPool(String protocol, Pool pool) {
        pools.add(pool);
        pooler.addBackend(protocol, pool);
    }

    private void endConnections() {
        front.close();
        if (mysqlFront != null) {
            mysqlFront.close();
        }
    }

    /**
     * Applies a document that a majority has accepted: accounts and DNS resolver take effect at once, the rest at the
     * next start. Core thread.
     */
    private void applyAccepted(byte[] document) {
        try {
            OperatorConfig before = operator;
            operator = localConfig.accepted(document);
            OperatorConfig.Mysql account = operator.mysql();
            if (account != null) {
                mysqlFront.account(account.user(), account.password());
                mysqlBackend.account(account.nodeUser(), account.nodePassword(), account.database());
                if (started) {
                    listenMysql();
                }
            }
            OperatorConfig.DnsSd dnsSd = operator.dnsSd();
            if (dnsSd != null && dnsDiscovery != null) {
                dnsDiscovery.move(Addresses.parse(dnsSd.resolver()), dnsSd.service(), dnsSd.pollMicros());
            } else if (dnsSd != null && deferredDiscovery != null) {
                deferredDiscovery.setDelegate(createDnsDiscovery(dnsSd));
            } else if (dnsSd == null != (before.dnsSd() == null)) {
                Log.warn("configuration: the change of the discovery source takes effect at the next start");
            }
        } catch (IOException | RuntimeException e) {
            Log.error("configuration: the accepted document was not applied in full: %s", e.getMessage());
        }
    }

    private void applySelfDrain(boolean byGroup) {
        if (adminTarget != null) {
            adminTarget.setDrainedByGroup(byGroup);
        }
        pooler.clientDrain().setDrainedByGroup(byGroup, loop.now());
        if (byGroup) {
            loop.after(ClientDrain.CLOSE_DELAY_MICROS, this::endConnections);
        }
    }

    /** Discovery whose source is not known yet; passes calls on once it is set. Core thread. */
    private static final class DeferredDiscovery implements EndpointDiscovery {
        private EndpointDiscovery delegate;
        private boolean subscribed;
        private boolean fetchRequested;

        void setDelegate(EndpointDiscovery discovery) {
            delegate = discovery;
            if (subscribed) {
                delegate.subscribe(true);
            } else if (fetchRequested) {
                delegate.fetch();
            }
        }

        @Override
        public void subscribe(boolean active) {
            subscribed = active;
            if (delegate != null) {
                delegate.subscribe(active);
            }
        }

        @Override
        public void fetch() {
            fetchRequested = true;
            if (delegate != null) {
                delegate.fetch();
            }
        }
    }

    private EndpointDiscovery createDiscovery() {
        Integer port = operator.mysql() == null ? null : operator.mysql().nodePort();
        if (operator.dnsSd() != null) {
            return createDnsDiscovery(operator.dnsSd());
        }
        if (config.discovery() == null && shared != null) {
            deferredDiscovery = new DeferredDiscovery();
            return deferredDiscovery;
        }
        if (config.discovery() == null) {
            throw new IllegalArgumentException("no discovery in the configuration and no dns_sd");
        }
        httpDiscovery = new HttpEndpointDiscovery(
                discoveryNet,
                pooler,
                Addresses.parse(config.discovery()),
                new EndpointListReader(config.site().zones(), port),
                config.known().revision());
        return httpDiscovery;
    }

    private DnsEndpointDiscovery createDnsDiscovery(OperatorConfig.DnsSd dnsSd) {
        dnsDiscovery = new DnsEndpointDiscovery(
                pooler,
                Addresses.parse(dnsSd.resolver()),
                dnsSd.service(),
                dnsSd.pollMicros(),
                operator.mysql() == null ? MYSQL_DEFAULT_PORT : operator.mysql().nodePort(),
                config.site().zones());
        return dnsDiscovery;
    }

    /**
     * Applies reloaded configuration files while requests go on: the addresses of discovery and the MySQL account take
     * effect at once, settings and limits at the next start. Both files must have been validated. Safe for any thread.
     *
     * @throws IllegalArgumentException if an address in the files is invalid; nothing is applied then
     */
    public void reconfigure(NodeConfig next, OperatorConfig nextOperator) {
        OperatorConfig.DnsSd dnsSd = nextOperator.dnsSd();
        InetSocketAddress discoveryAddress =
                httpDiscovery != null && next.discovery() != null ? Addresses.parse(next.discovery()) : null;
        // A member's file does not change what the group stores.
        InetSocketAddress resolver =
                dnsDiscovery != null && dnsSd != null && shared == null ? Addresses.parse(dnsSd.resolver()) : null;
        if (discoveryAddress != null && discoveryAddress.isUnresolved()
                || resolver != null && resolver.isUnresolved()) {
            throw new IllegalArgumentException(
                    "not a literal address: " + (discoveryAddress != null ? discoveryAddress : resolver));
        }
        if (!next.site().equals(config.site())
                || !next.listen().equals(config.listen())
                || next.sockets() != config.sockets()
                || next.memoryMb() != config.memoryMb()) {
            Log.warn("configuration: changes of settings, limits and listen take effect at the next start");
        }
        loop.post(() -> {
            if (discoveryAddress != null) {
                Log.info("configuration: discovery is at %s", next.discovery());
                httpDiscovery.move(discoveryAddress);
            }
            if (resolver != null) {
                dnsDiscovery.move(resolver, dnsSd.service(), dnsSd.pollMicros());
            }
            if (mysqlFront != null && nextOperator.mysql() != null && shared == null) {
                mysqlFront.account(
                        nextOperator.mysql().user(), nextOperator.mysql().password());
            }
        });
    }

    /** Starts to serve; returns once the listener is open. */
    public void start() throws IOException, InterruptedException {
        if (adminServer != null) {
            try {
                adminServer.bind(config.operator());
            } catch (IOException e) {
                throw new IOException("operator: can't listen on " + config.operator() + ": " + e.getMessage(), e);
            }
        }
        if (adminTarget != null) {
            // The admin interface is open from now on, and each command must be answered within a second.
            adminTarget.start();
        }
        // Discovery is called first, so that its response arrives during the warm-up.
        startCore();
        long calledAtNanos = System.nanoTime();
        WarmUp.run(config);
        if (shared != null) {
            shared.start();
        }
        awaitFirstList(calledAtNanos);
        if (shared == null) {
            listenMysql();
        } else {
            listenMysqlIfAccepted();
        }
        listener = net.listen(Addresses.parse(config.listen()), adminTarget != null, front::framer, front);
        if (adminTarget != null) {
            adminTarget.setServing(true);
            Log.info("%s serves the admin interface on %s", config.name(), adminServer.address());
        }
        Log.info(
                "%s listens on %s:%d",
                config.name(), address().getHostString(), address().getPort());
    }

    /**
     * Waits for the first response of discovery, so that requests are not routed by the outdated list in the
     * configuration file: it dates from before this process's start. If discovery rejects calls, that list is used at
     * once, since discovery has not notified anyone of a newer one.
     */
    private void awaitFirstList(long calledAtNanos) throws InterruptedException {
        if (httpDiscovery == null && dnsDiscovery == null) {
            return;
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAtNanos);
        DiscoveryReadiness.Outcome outcome =
                pooler.discoveryReadiness().await(FIRST_LIST_TIMEOUT_MILLIS - elapsedMillis);
        if (outcome != DiscoveryReadiness.Outcome.LIST_RECEIVED) {
            Log.warn(
                    "discovery: %s after %d ms; %s serves from the list in its file, revision %d",
                    outcome,
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAtNanos),
                    config.name(),
                    config.known().revision());
        }
    }

    /** Opens the MySQL listener if it is configured and not open yet. */
    private void listenMysql() throws IOException {
        if (mysqlFront != null
                && mysqlListener == null
                && operator.mysql() != null
                && operator.mysql().listen() != null) {
            mysqlListener = net.listen(
                    Addresses.parse(operator.mysql().listen()), adminTarget != null, mysqlFront::framer, mysqlFront);
            Log.info("%s accepts MySQL clients on %s", config.name(), mysqlListener.address());
        }
    }

    /**
     * Opens the MySQL listener if the group has accepted a document: without one there are no accounts to authenticate
     * clients with.
     */
    private void listenMysqlIfAccepted() throws InterruptedException {
        CountDownLatch checked = new CountDownLatch(1);
        loop.post(() -> {
            started = true;
            try {
                listenMysql();
            } catch (IOException e) {
                Log.error("mysql.listen: MySQL is not served, its listener can't be opened: %s", e.getMessage());
            }
            if (mysqlFront != null && mysqlListener == null) {
                Log.warn("MySQL is not served yet: no configuration was accepted by a majority");
            }
            checked.countDown();
        });
        checked.await();
    }

    private void startCore() {
        loop.start();
        loop.post(() -> {
            List<DiscoveredEndpoint> known = config.known().entries();
            pooler.start(config.seed(), known.isEmpty() && shared != null ? shared.initialEndpoints() : known);
            if (shared != null) {
                shared.startPublishing();
            }
            if (adminTarget != null) {
                pooler.publishMetrics();
            }
        });
    }

    /** The memory for clients' commands and their answers. */
    public MemoryBudgets memory() {
        return memory;
    }

    /** Address of the admin interface. */
    public InetSocketAddress adminAddress() {
        return adminServer.address();
    }

    /** Address of the PostgreSQL listener. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Address of the MySQL listener, or null while it is not open. */
    public InetSocketAddress mysqlAddress() {
        return mysqlListener == null ? null : mysqlListener.address();
    }

    /** Address on which a member listens for its peers; null for a subscriber. */
    public InetSocketAddress storeAddress() {
        return shared.plane() instanceof RaftMember group ? group.address() : null;
    }

    /** Reloads keys and certificates; safe for any thread. Throws without a change if they are not usable. */
    public void reloadCertificates() throws IOException {
        if (shared != null) {
            shared.plane().reloadCertificates();
        }
    }

    /**
     * Drains: accepted requests are answered, then {@code then} runs. If another process of this pooler serves, the
     * listener closes at once. Otherwise clients keep using their open connections and can't reach any pooler once
     * these are closed; so requests are accepted for as long as they can be answered before the platform's SIGKILL, and
     * the deadlines of late ones are shortened to that.
     */
    public void drain(Runnable then) {
        boolean superseded = adminTarget != null && adminTarget.isSuperseded();
        loop.post(() -> {
            Log.info(
                    "shutting down%s: %d open requests, %d client connections",
                    superseded ? " after a successor's start" : "", pooler.openRequests(), front.open());
            long longestMicros = 0;
            for (RequestClass requestClass : config.site().settings().classes()) {
                longestMicros = Math.max(longestMicros, requestClass.deadlineMicros());
            }
            long remainingMicros =
                    Math.min(longestMicros, MAX_DEADLINE_MICROS) + KILL_GRACE_MICROS - ANSWER_MARGIN_MICROS;
            pooler.answerBy(loop.now() + remainingMicros);
            if (adminTarget != null) {
                adminTarget.setServing(false);
            }
            if (listener == null) {
                // The start failed or is not complete: no client was accepted, so no request is open.
                then.run();
            } else if (superseded) {
                stopAccepting(then);
            } else {
                loop.after(remainingMicros - LAST_REQUEST_MARGIN_MICROS, () -> stopAccepting(then));
            }
        });
    }

    private void stopAccepting(Runnable then) {
        pooler.clientDrain().shutDown();
        listener.stop(() -> {
            endConnections();
            awaitIdle(then, 0);
        });
        if (mysqlListener != null) {
            mysqlListener.stop();
        }
    }

    /**
     * Runs {@code then} once no request or connection is left. There is no time limit: a request that is unanswered
     * when the program exits by itself counts as lost, while one that is unanswered at SIGKILL does not, if it arrived
     * early enough.
     */
    private void awaitIdle(Runnable then, int idleChecks) {
        // The last answer of a connection that its frontend has closed may still be queued in MINA, until its thread is
        // scheduled and the client reads.
        boolean idle = pooler.openRequests() == 0
                && front.open() == 0
                && (mysqlFront == null || mysqlFront.open() == 0)
                && listener.open() == 0
                && (mysqlListener == null || mysqlListener.open() == 0);
        if (idle && idleChecks >= IDLE_CHECKS_COUNT) {
            // The frontends have received the last accepted connections by now.
            then.run();
        } else {
            loop.after(IDLE_CHECK_INTERVAL_MICROS, () -> awaitIdle(then, idle ? idleChecks + 1 : 0));
        }
    }

    /** Stops the control plane; on any thread except the core thread. */
    public void stopControlPlane() {
        if (shared != null) {
            shared.plane().stop();
        }
    }

    /**
     * Closes everything and waits briefly for the I/O threads. A JVM that halts waits 0.3 s for threads in a system
     * call, and SIGKILL may come sooner.
     */
    public void stopAndAwaitThreads() throws InterruptedException {
        stop();
        for (Net socketLayer : List.of(net, discoveryNet)) {
            if (!socketLayer.awaitEnd(IO_THREADS_END_MILLIS)) {
                Log.info(
                        "I/O threads have not ended within %d ms; the process exits without waiting for them",
                        IO_THREADS_END_MILLIS);
            }
        }
    }

    /** Closes everything at once without a drain. */
    public void stop() {
        stopControlPlane();
        if (adminServer != null) {
            adminServer.close();
            adminTarget.stop();
        }
        net.close();
        discoveryNet.close();
        loop.stop();
    }
}
