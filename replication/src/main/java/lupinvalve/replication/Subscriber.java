package lupinvalve.replication;

import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.SubscriberState;
import lupinvalve.subscription.WatchRequest;
import lupinvalve.subscription.WatchResponse;

/**
 * Watches the Raft group's configuration and the operators' drains without being a member, by long polling one member
 * at a time, and applies them to its pooler in the same process. Hundreds of subscribers in one process may share an
 * event loop and a {@link Net}; the daemon's subscriber has its own.
 *
 * <p>Private state is confined to the event loop's thread. Public methods may be called from any other thread.
 */
public final class Subscriber implements ControlPlane {
    private static final long TICK_MICROS = 1_000_000;
    /**
     * Longest interval between a response and the next request, even if the pooler is slow to apply the response: a
     * member closes a connection that is silent for 2.5 s.
     */
    private static final long REQUEST_INTERVAL_MAX_MICROS = 1_000_000;
    /** Delay before the full document is requested after a corrupt event. */
    private static final int CORRUPTION_RETRY_MILLIS = 200;

    private static final long STOP_TIMEOUT_MILLIS = 3_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final OperatorConfig.Store config;
    private final EventLoop loop;
    private final Net net;
    private final Tls tls;
    private final CachedDocumentWriter cacheWriter;
    /** Whether loop and net belong to this subscriber, which then starts and stops them. */
    private final boolean ownsLoop;
    /** Prefix of log lines; it has the subscriber's name if several share the process. */
    private final String logPrefix;

    private final SubscriberState.Cached cached;
    private final SubscriberState state;
    private final MemberFailover members;
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicLong fullDocumentCount = new AtomicLong();
    private final AtomicLong deltaCount = new AtomicLong();
    private ControlPlane.Listener pooler;
    private boolean stopped;
    private boolean fenced;
    private long lastResponseMicros;
    private TimerQueue.Timer leaseEndTimer;
    private String lastLoggedLine = "";
    /** Set on the pooler's thread once the pooler has applied the document. */
    private volatile ReplicatedState.Document appliedDocument;

    /**
     * Creates the daemon's subscriber, with its own thread and connections.
     *
     * @throws IOException if the folder or the settings can't be used; the message is one line and says why
     */
    public Subscriber(OperatorConfig.Store config) throws IOException {
        this(
                config,
                new EventLoop("store"),
                null,
                new FolderDisk(config.folder(), true),
                CachedDocumentWriter.newDiskExecutor(),
                System.nanoTime());
    }

    /**
     * Creates one of several subscribers in a process.
     *
     * @param loop runs the subscriber; not started or stopped here
     * @param net carries its connections, on the same loop; not closed here
     * @param disk holds the cached document, written on the loop; closed by {@link #stop}
     * @param seed the random seed of its jitter
     */
    public Subscriber(OperatorConfig.Store config, EventLoop loop, Net net, Disk disk, long seed) throws IOException {
        this(config, loop, net, disk, Runnable::run, seed);
    }

    private Subscriber(
            OperatorConfig.Store config, EventLoop loop, Net sharedNet, Disk disk, Executor diskExecutor, long seed)
            throws IOException {
        this.config = config;
        this.loop = loop;
        ownsLoop = sharedNet == null;
        logPrefix = ownsLoop ? "store" : "store: " + config.name();
        try {
            tls = config.tls() == null ? null : new Tls(config.tls());
            requireTlsOrLoopback(config);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
        net = ownsLoop ? new Net(loop, false, tls) : sharedNet;
        cacheWriter = new CachedDocumentWriter(disk, config.cluster(), diskExecutor);
        cached = readCache(disk);
        state = new SubscriberState(wantsLeases(), cached, LeaseHolder.monotonicMicros());
        members = new MemberFailover(config, loop, net, seed, new FailoverListener());
    }

    private static void requireTlsOrLoopback(OperatorConfig.Store config) throws IOException {
        if (config.tls() != null) {
            return;
        }
        for (String address : config.members().values()) {
            InetAddress host = Addresses.parse(address).getAddress();
            if (host == null || !host.isLoopbackAddress()) {
                throw new IOException("store.tls is missing: " + address + " is not on loopback");
            }
        }
    }

    /** Reads the cached state; returns an empty one if the file can't be used, as members send everything again. */
    private SubscriberState.Cached readCache(Disk disk) {
        try {
            return CachedDocumentFile.read(disk, config.cluster());
        } catch (IOException e) {
            Log.warn("store: %s: %s; the cached document is ignored", config.folder(), e.getMessage());
            return SubscriberState.Cached.EMPTY;
        }
    }

    private boolean wantsLeases() {
        return config.audit() != OperatorConfig.Audit.OFF;
    }

    @Override
    public InitialState initialState() {
        return new InitialState(cached.document(), List.of(), new Command.SessionCommits(0, Map.of()));
    }

    @Override
    public void start(ControlPlane.Listener listener) {
        pooler = listener;
        if (ownsLoop) {
            loop.start();
        }
        loop.post(() -> {
            ReplicatedState.Document document = state.restoreCached(pooler::validationError);
            if (document != null) {
                adopt(document);
            }
            pooler.drainsChanged(state.drains());
            updateFence();
            members.connect(0);
            tick();
        });
    }

    private final class FailoverListener implements MemberFailover.Listener {
        @Override
        public void onReady() {
            sendRequest();
        }

        @Override
        public void logOnce(String line) {
            Subscriber.this.logOnce(line);
        }
    }

    private void logOnce(String line) {
        if (!line.equals(lastLoggedLine)) {
            lastLoggedLine = line;
            Log.info("%s: %s", logPrefix, line);
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        boolean ready = members.isReady();
        boolean waiting = members.hasRequestInFlight();
        String line = state.configuration().onQuorumContact(ready && waiting, LeaseHolder.monotonicMicros());
        if (line != null) {
            Log.warn("%s: %s", logPrefix, line);
        }
        if (ready && !waiting && LeaseHolder.monotonicMicros() - lastResponseMicros > REQUEST_INTERVAL_MAX_MICROS) {
            // The pooler is slow to apply the last response; without a request the member would drop the connection.
            sendRequest();
        }
        members.retryPreferred();
        loop.after(TICK_MICROS, this::tick);
    }

    // ---- requests and responses ----

    private void sendRequest() {
        if (stopped || !members.isReady() || members.hasRequestInFlight()) {
            return;
        }
        requestCount.incrementAndGet();
        long requestedMicros = LeaseHolder.monotonicMicros();
        MemberConnection connection = members.current();
        WatchRequest request = state.request();
        // A full document takes longer to arrive; and without a lease, none can expire during a longer wait.
        boolean extendedTimeout =
                !state.hasLease(requestedMicros) || request.wantsFullDocument() || request.revision() == 0;
        connection.send(
                request.write(),
                members.responseTimeoutMicros(extendedTimeout),
                response -> onResponse(connection, response, requestedMicros));
    }

    private void onResponse(MemberConnection connection, WireMessages.Response response, long requestedMicros) {
        if (connection != members.current()) {
            return;
        }
        if (response.status() != WireMessages.Status.OK) {
            members.failOver(connection.member() + ": " + response.text());
            return;
        }
        try {
            onWatchResponse(WatchResponse.read(response.content()), requestedMicros);
        } catch (IOException | IllegalArgumentException e) {
            members.failOver(connection.member() + ": " + e.getMessage());
        }
    }

    private void onWatchResponse(WatchResponse response, long requestedMicros) {
        lastResponseMicros = LeaseHolder.monotonicMicros();
        count(response.event());
        SubscriberState.Update update =
                state.onResponse(response, requestedMicros, LeaseHolder.monotonicMicros(), pooler::validationError);
        updateFence();
        boolean corrupt = !update.corruption().isEmpty();
        if (corrupt) {
            Log.warn("%s: %s; requesting the full document", logPrefix, update.corruption());
        }
        apply(update);
        if (!state.leaseDenial().isEmpty()) {
            logOnce("lease denied: " + state.leaseDenial());
        }
        long delayMicros = MICROS_PER_MILLI * (corrupt ? CORRUPTION_RETRY_MILLIS : response.retryAfterMillis());
        long receivedIndex = state.receivedIndex();
        pooler.runAfterApplied(() -> loop.post(() -> {
            state.onApplied(receivedIndex);
            loop.after(delayMicros, this::sendRequest);
        }));
        members.onResponse(
                response,
                wantsLeases() && state.configuration().unreadableReason().isEmpty());
    }

    private void count(WatchResponse.Event event) {
        if (event instanceof WatchResponse.Event.FullDocument) {
            fullDocumentCount.incrementAndGet();
        } else if (event instanceof WatchResponse.Event.Deltas changed) {
            deltaCount.addAndGet(changed.deltas().size());
        }
    }

    private void apply(SubscriberState.Update update) {
        if (update.document() != null) {
            adopt(update.document());
        } else if (!state.configuration().unreadableReason().isEmpty()) {
            logOnce("can't apply the latest configuration; "
                    + state.configuration().describe());
        }
        if (update.drains() != null) {
            pooler.drainsChanged(update.drains());
        }
        if (update.changesState()) {
            cacheWriter.write(state.toCache());
        }
    }

    private void adopt(ReplicatedState.Document document) {
        Log.info(
                "%s: adopted revision %s, change %s, digest %s",
                logPrefix, document.revision(), document.index(), document.digest());
        pooler.configurationAccepted(document);
        pooler.runAfterApplied(() -> appliedDocument = document);
    }

    /** Logs that the lease has ended, or that there is one again. */
    private void updateFence() {
        if (!fencingEnabled()) {
            return;
        }
        long leaseLeftMicros = state.leaseUntilMicros() - LeaseHolder.monotonicMicros();
        boolean leaseEnded = leaseLeftMicros <= 0;
        if (leaseEnded != fenced) {
            fenced = leaseEnded;
            String denial = state.leaseDenial().isEmpty() ? "" : ": " + state.leaseDenial();
            Log.info(
                    "%s: %s",
                    logPrefix,
                    fenced
                            ? "fenced, not serving until a lease is granted" + denial
                            : "returned to service: lease granted");
        }
        loop.cancel(leaseEndTimer);
        leaseEndTimer = leaseEnded ? null : loop.after(leaseLeftMicros, this::updateFence);
    }

    // ---- called from any thread ----

    @Override
    public boolean mayServe() {
        return !fencingEnabled() || state.hasLease(LeaseHolder.monotonicMicros());
    }

    @Override
    public boolean fencingEnabled() {
        return config.audit() == OperatorConfig.Audit.FENCE;
    }

    /** The end of the current or the last lease, on the clock of {@link System#nanoTime}, in microseconds. */
    public long leaseUntilMicros() {
        return state.leaseUntilMicros();
    }

    /** The revision that the pooler has applied, 0 for none. */
    public long appliedRevision() {
        ReplicatedState.Document document = appliedDocument;
        return document == null ? 0 : document.revision();
    }

    /**
     * Counters since the start.
     *
     * @param sentBytes bytes sent, without TLS overhead
     * @param receivedBytes bytes received, without TLS overhead
     * @param requests requests sent
     * @param fullDocuments full documents received
     * @param deltas deltas received, one per revision
     * @param failovers changes from one member to another
     */
    public record Traffic(
            long sentBytes, long receivedBytes, long requests, long fullDocuments, long deltas, long failovers) {}

    /** Returns the counters since the start. */
    public Traffic traffic() {
        return new Traffic(
                members.sentBytes(),
                members.receivedBytes(),
                requestCount.get(),
                fullDocumentCount.get(),
                deltaCount.get(),
                members.failoverCount());
    }

    @Override
    public boolean isLeader() {
        return false;
    }

    /** Subscribers take no part in the replication of sessions' commits; {@code onCommitted} runs at once. */
    @Override
    public void publishCommit(String session, long position, Runnable onCommitted) {
        if (onCommitted != null) {
            onCommitted.run();
        }
    }

    @Override
    public void publishEndpoints(List<Command.KnownEndpoint> nodes) {
        // Only members replicate lists of db nodes.
    }

    @Override
    public void reloadCertificates() throws IOException {
        if (tls != null) {
            tls.reload();
            if (ownsLoop) {
                net.reloadSecurity();
            }
            Log.info("store: keys and certificates reloaded");
        }
    }

    @Override
    public void stop() {
        if (stopRequested.getAndSet(true)) {
            return;
        }
        CountDownLatch connectionsClosed = new CountDownLatch(1);
        loop.post(() -> {
            stopped = true;
            members.close();
            cacheWriter.close();
            connectionsClosed.countDown();
        });
        try {
            if (!connectionsClosed.await(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    || !cacheWriter.awaitClosed(STOP_TIMEOUT_MILLIS)) {
                Log.warn(
                        "store: connections or folder not closed within %s ms; stopping without waiting further",
                        STOP_TIMEOUT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (ownsLoop) {
            net.close();
            loop.stop();
        }
    }
}
