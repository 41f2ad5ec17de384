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
 * Watches the group's configuration and the operators' drains without being a member, by long polls at one member at a
 * time, and applies them to the pooler beside it. Hundreds of them may share one loop and one {@link Net} in a process;
 * the daemon's has its own.
 *
 * <p>All private state belongs to the loop's thread; public methods are safe for all threads but the loop's own.
 */
public final class Subscriber implements ControlPlane {
    private static final long TICK_MICROS = 1_000_000;
    /** Between a response and the next request, even if the pooler is slow; a member closes after 2.5 s of silence. */
    private static final long REQUEST_INTERVAL_MAX_MICROS = 1_000_000;
    /** Before the full document is requested after a corrupt event. */
    private static final int CORRUPTION_RETRY_MILLIS = 200;

    private static final long STOP_TIMEOUT_MILLIS = 3_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final OperatorConfig.Store config;
    private final EventLoop loop;
    private final Net net;
    private final Tls tls;
    private final CachedDocumentWriter cacheWriter;
    /** Whether loop and net are this subscriber's own. */
    private final boolean ownsLoop;
    /** Begins each line in the log; it has the subscriber's name if there are many in the process. */
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
    private String lastLine = "";
    /** Written on the pooler's thread once it has applied the document. */
    private volatile ReplicatedState.Document appliedDocument;

    /**
     * The daemon's subscriber, with its own thread and connections.
     *
     * @throws IOException with one line that says what is wrong with the folder or the settings
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
     * One of many subscribers in a process.
     *
     * @param loop runs it; not started or stopped here
     * @param net has its connections, on the same loop; not closed here
     * @param disk has the cached document, written on the loop; closed by {@link #stop}
     * @param seed of its jitter
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
        state = new SubscriberState(leasesOn(), cached, LeaseHolder.monotonicMicros());
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

    /** The cached state; empty if the file can't be used, as members send everything again. */
    private SubscriberState.Cached readCache(Disk disk) {
        try {
            return CachedDocumentFile.read(disk, config.cluster());
        } catch (IOException e) {
            Log.warn("store: %s: %s; the cached document is ignored", config.folder(), e.getMessage());
            return SubscriberState.Cached.EMPTY;
        }
    }

    private boolean leasesOn() {
        return config.audit() != OperatorConfig.Audit.OFF;
    }

    @Override
    public InitialState initialState() {
        return new InitialState(cached.document(), List.of(), new Command.SessionCommits(0, Map.of()));
    }

    @Override
    public void start(ControlPlane.Listener beside) {
        pooler = beside;
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
        if (!line.equals(lastLine)) {
            lastLine = line;
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
            // The pooler is slow to apply the last response; the member must see that this subscriber is alive.
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
        // Without a lease there is nothing to lose by waiting, and a full document takes longer.
        boolean patient = !state.hasLease(requestedMicros) || request.wantsFullDocument() || request.revision() == 0;
        connection.send(
                request.write(),
                members.responseTimeoutMicros(patient),
                answer -> onAnswer(connection, answer, requestedMicros));
    }

    private void onAnswer(MemberConnection connection, WireMessages.Response answer, long requestedMicros) {
        if (connection != members.current()) {
            return;
        }
        if (answer.status() != WireMessages.Status.OK) {
            members.failOver(connection.member() + ": " + answer.text());
            return;
        }
        try {
            onResponse(WatchResponse.read(answer.content()), requestedMicros);
        } catch (IOException | IllegalArgumentException e) {
            members.failOver(connection.member() + ": " + e.getMessage());
        }
    }

    private void onResponse(WatchResponse response, long requestedMicros) {
        lastResponseMicros = LeaseHolder.monotonicMicros();
        count(response.event());
        SubscriberState.Update update =
                state.onResponse(response, requestedMicros, LeaseHolder.monotonicMicros(), pooler::validationError);
        updateFence();
        boolean corrupt = !update.corruption().isEmpty();
        if (corrupt) {
            Log.warn("%s: %s; the full document is requested", logPrefix, update.corruption());
        }
        apply(update);
        if (!state.leaseDenial().isEmpty()) {
            logOnce("has no lease: " + state.leaseDenial());
        }
        long delayMicros = MICROS_PER_MILLI * (corrupt ? CORRUPTION_RETRY_MILLIS : response.retryAfterMillis());
        long receivedIndex = state.receivedIndex();
        pooler.runAfterApplied(() -> loop.post(() -> {
            state.onApplied(receivedIndex);
            loop.after(delayMicros, this::sendRequest);
        }));
        members.judge(
                response, leasesOn() && state.configuration().unreadableReason().isEmpty());
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
            logOnce("serves on, " + state.configuration().describe());
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

    /** Logs when the lease has ended and when there is one again. */
    private void updateFence() {
        if (!fencingEnabled()) {
            return;
        }
        long leaseLeftMicros = state.leaseUntilMicros() - LeaseHolder.monotonicMicros();
        boolean leaseEnded = leaseLeftMicros <= 0;
        if (leaseEnded != fenced) {
            fenced = leaseEnded;
            String denial = state.leaseDenial().isEmpty() ? "" : ": " + state.leaseDenial();
            Log.info("%s: %s", logPrefix, fenced ? "fenced" + denial : "returned");
        }
        loop.cancel(leaseEndTimer);
        leaseEndTimer = leaseEnded ? null : loop.after(leaseLeftMicros, this::updateFence);
    }

    // ---- from any thread ----

    @Override
    public boolean mayServe() {
        return !fencingEnabled() || state.hasLease(LeaseHolder.monotonicMicros());
    }

    @Override
    public boolean fencingEnabled() {
        return config.audit() == OperatorConfig.Audit.FENCE;
    }

    /** When the lease ends or has ended, by {@link System#nanoTime} in microseconds. */
    public long leaseUntilMicros() {
        return state.leaseUntilMicros();
    }

    /** The revision that the pooler has applied, 0 for none. */
    public long appliedRevision() {
        ReplicatedState.Document document = appliedDocument;
        return document == null ? 0 : document.revision();
    }

    /**
     * Sums since the start.
     *
     * @param sentBytes without what TLS adds
     * @param receivedBytes without what TLS adds
     * @param requests that were sent
     * @param fullDocuments that were received
     * @param deltas that were received, one a revision
     * @param failovers from one member to another
     */
    public record Traffic(
            long sentBytes, long receivedBytes, long requests, long fullDocuments, long deltas, long failovers) {}

    /** The sums since the start. */
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

    /** Subscribers take no part in the replication of sessions' commits: {@code then} runs at once. */
    @Override
    public void publishCommit(String session, long position, Runnable then) {
        if (then != null) {
            then.run();
        }
    }

    @Override
    public void publishEndpoints(List<Command.KnownEndpoint> nodes) {
        // Only members replicate the list of db nodes.
    }

    @Override
    public void reloadCertificates() throws IOException {
        if (tls != null) {
            tls.reload();
            if (ownsLoop) {
                net.reloadSecurity();
            }
            Log.info("store: keys and certificates read anew");
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
                Log.warn("store: graceful shutdown timed out");
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
