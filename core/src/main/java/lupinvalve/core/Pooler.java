package lupinvalve.core;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ClientDrain;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.maintenance.MemoryBudgets;
import lupinvalve.maintenance.Metrics;
import lupinvalve.maintenance.SentIds;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/**
 * Connects the router to frontends, backends and discovery: turns their reports into the router's events and performs
 * the router's actions, so that each request gets exactly one final answer. Independent of wire protocols. All tables
 * are confined to the core thread, that of {@link #loop}; methods may be called only there unless stated otherwise.
 */
public class Pooler {
    /**
     * Maximum number of open requests and of attempts in flight; the limit on client connections keeps both far lower.
     */
    private static final int TABLE_CAPACITY = 8192;
    /** Update period of the gauges of db nodes, which are allowed to lag by 0.5 s. */
    private static final long METRICS_PERIOD_MICROS = 100_000;

    private final EventLoop loop;
    private final RouterSettings settings;
    private final Metrics metrics;
    private final ClientDrain clientDrain = new ClientDrain();
    private final DiscoveryReadiness discoveryReadiness = new DiscoveryReadiness();
    private final Fence fence = new Fence();
    private final RequestTable requests;
    private final AttemptTable attempts;
    private final RequestLifecycle lifecycle;
    private final RequestLog log;
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final EndpointDraining draining;
    private final EndpointUpdates endpointUpdates;
    private final RouterDriver router;
    private final MemoryBudgets memory;
    private EndpointDiscovery discovery;

    /** A pooler with budgets of its own for the heap of this process. */
    public Pooler(EventLoop loop, RouterSettings settings) {
        this(loop, settings, MemoryBudgets.ofThisProcess());
    }

    /**
     * Creates a pooler that runs on the loop's thread once the loop has been started.
     *
     * @param memory the memory for clients' commands and their answers, which frontends and backends share
     */
    public Pooler(EventLoop loop, RouterSettings settings, MemoryBudgets memory) {
        this.loop = loop;
        this.settings = settings;
        this.memory = memory;
        metrics =
                new Metrics(settings.classes().stream().map(RequestClass::name).toList());
        log = new RequestLog(loop);
        requests = new RequestTable(loop, metrics, log, TABLE_CAPACITY);
        attempts = new AttemptTable(loop, log, TABLE_CAPACITY, this::attemptAbandoned);
        router = new RouterDriver(loop, this::perform);
        lifecycle = new RequestLifecycle(loop, settings, metrics, fence, log, requests, attempts, router);
        draining = new EndpointDraining(settings.rules());
        endpointUpdates = new EndpointUpdates(loop, endpoints, draining, attempts, router, discoveryReadiness);
    }

    // ---- components ----

    /** State of the drain of this pooler's clients. */
    public ClientDrain clientDrain() {
        return clientDrain;
    }

    /** Counters and gauges; any thread. */
    public Metrics metrics() {
        return metrics;
    }

    /** Lets startup wait for the first endpoint list; any thread. */
    public DiscoveryReadiness discoveryReadiness() {
        return discoveryReadiness;
    }

    /** The core's event loop; any thread. */
    public EventLoop loop() {
        return loop;
    }

    /** The memory for clients' commands and their answers; any thread. */
    public MemoryBudgets memory() {
        return memory;
    }

    /** The router's settings; any thread. */
    public RouterSettings settings() {
        return settings;
    }

    /** Adds the backend for a protocol; to be called before {@link #start}. */
    public void addBackend(String protocol, Backend backend) {
        attempts.addBackend(protocol, backend);
    }

    /** Sets the source of the endpoint list; to be called before {@link #start}. */
    public void discovery(EndpointDiscovery source) {
        discovery = source;
    }

    /**
     * Sets the fence; to be called before {@link #start}. While {@code mayAct} is false, requests are rejected at once
     * and requests that have been routed but not sent are not sent.
     */
    public void fence(BooleanSupplier mayAct) {
        fence.set(mayAct);
    }

    /**
     * Sets the ids of requests that have been sent, which another process may share; to be called before
     * {@link #start}.
     */
    public void sentIds(SentIds ids) {
        requests.sentIds(ids);
    }

    /** Sets the store of session tokens; to be called before {@link #start}. */
    public void sessionTokens(SessionTokenStore tokens) {
        lifecycle.sessionTokens(tokens);
    }

    /**
     * Starts the router.
     *
     * @param seed seed of the router's random numbers
     * @param restored the endpoint list that an earlier process had
     */
    public void start(long seed, List<DiscoveredEndpoint> restored) {
        List<RouterAction> first = router.start(seed, settings);
        onEndpointListEvent(new EndpointListEvent(ListForm.RESTORED, restored));
        first.forEach(this::perform);
        new MemoryLog(loop, memory).start();
    }

    /**
     * Updates the gauges of db nodes at once and then periodically; to be called after {@link #start}. Only for poolers
     * whose metrics operators can query, since each update visits all db nodes.
     */
    public void publishMetrics() {
        int avoided = 0;
        for (DiscoveredEndpoint discovered : endpoints.listed()) {
            String node = discovered.endpoint().node();
            avoided += draining.isDrainedByOperator(node) || router.router().isExcluded(node) ? 1 : 0;
        }
        metrics.setServers(endpoints.listed().size(), avoided);
        loop.after(METRICS_PERIOD_MICROS, this::publishMetrics);
    }

    // ---- requests ----

    /**
     * Whether a request to which its client gave this id is open. Another with the same id must not be submitted: db
     * nodes would treat the two as one request.
     */
    public boolean hasOpenRequest(String id) {
        return requests.hasClientId(id);
    }

    /** Number of open requests. */
    public int openRequests() {
        return requests.size();
    }

    /** Number of open requests, or of attempts in flight if these are more, as clients have left them behind. */
    public int busyRequests() {
        return Math.max(requests.size(), attempts.size());
    }

    /**
     * Limits the deadline of requests that are submitted from now on, and the waits of answers that are held back, in
     * Unix microseconds, because of a shutdown.
     */
    public void answerBy(long deadlineMicros) {
        lifecycle.answerBy(deadlineMicros);
    }

    /**
     * Accepts a request, which gets one final answer, possibly before this method returns.
     *
     * @param ticket number by which the frontend identifies the request when it gets the answer
     * @return a handle for {@link #clientDisconnected}, or {@link HandleTable#NO_HANDLE} if it has been rejected
     */
    public long submit(Frontend frontend, long ticket, ClientRequest request) {
        return lifecycle.submit(frontend, ticket, request);
    }

    /** Counts a request that a frontend has rejected before it was submitted. */
    public void refused(int classIndex, RefusalReason reason) {
        metrics.requestEnded(classIndex, Metrics.Result.REJECTED);
        log.refused(reason);
    }

    /**
     * Reports that the client of a request has disconnected or cancelled the request, which gets no answer any more.
     */
    public void clientDisconnected(long handle) {
        lifecycle.clientDisconnected(handle);
    }

    /** Whether answers to writes may be held back until their session tokens are durable. */
    public boolean holdsAnswers() {
        return lifecycle.holdsAnswers();
    }

    /**
     * Reports that an answer which must follow that of a request on its connection is due at a time, in Unix
     * microseconds. The answer of the request is not held back beyond that once a db node has served it.
     *
     * @param handle the request that is answered first; ignored if it is not open
     */
    public void answerNeededBy(long handle, long deadlineMicros) {
        lifecycle.answerNeededBy(handle, deadlineMicros);
    }

    /**
     * Answers a request whose client cancels it, if a db node has served it and its answer is held back: it is too late
     * to cancel it.
     *
     * @return whether it has been answered
     */
    public boolean endTokenWait(long handle) {
        return lifecycle.endTokenWait(handle);
    }

    // ---- attempts ----

    /** Reports that an attempt's request is being written. */
    public void attemptWritten(long handle) {
        metrics.attemptSent();
        Attempt attempt = attempts.get(handle);
        if (attempt != null) {
            attempt.writtenAtMicros = loop.now();
            attempt.request.wasWritten = true;
        }
    }

    /** Reports that the first part of an answer has arrived; returns what the backend is to do with the answer. */
    public StreamDecision answerStarted(long attempt, Object first, Backend.StreamSource source) {
        return lifecycle.answerStarted(attempt, first, source);
    }

    /**
     * Forwards a further chunk of an answer for which {@link #answerStarted} returned {@link StreamDecision#PASS_ON}.
     */
    public void answerChunk(long attempt, byte[] chunk) {
        lifecycle.answerChunk(attempt, chunk);
    }

    /**
     * Reports the end of an attempt; ignored if it had ended before. The answer of the first served attempt is the
     * request's final answer.
     *
     * @param reported the outcome according to the db node or the connection
     * @param answer the answer in the protocol's own form; null unless served
     * @param position the answer's log position, or {@link LogPosition#UNKNOWN}
     */
    public void attemptEnded(long handle, AttemptOutcome reported, Object answer, long position, ServerRole role) {
        lifecycle.attemptEnded(handle, reported, answer, position, role);
    }

    private void attemptAbandoned(Attempt attempt, AttemptOutcome outcome) {
        lifecycle.attemptEnded(attempt.handle, outcome, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    /** Reports the end of a health check, with the position and the role in the db node's load report. */
    public void healthCheckEnded(
            String node, AttemptOutcome outcome, long elapsedMicros, long position, ServerRole role) {
        router.feed(new RouterEvent.HealthCheckEnded(node, outcome, elapsedMicros, position, role));
    }

    /**
     * Whether an attempt that has waited, for a connection to an instance or for the preparation of its statement
     * there, may be sent on it. Since the attempt was routed, the instance may have begun to drain, the client may have
     * disconnected, a write may have become unsafe to retry, and the db node's data may have become too old for a read.
     * All of these are judged when the first byte is sent.
     *
     * @param opened the instance that the connection was opened to
     * @param openedAtMicros when it was opened
     * @param attempt handle of the attempt, or {@link HandleTable#NO_HANDLE} for a health check
     */
    public boolean maySend(String node, EndpointInstance opened, long openedAtMicros, long attempt) {
        if (fence.isClosed()
                || !isCurrentInstance(node, opened, openedAtMicros)
                || draining.isTooLateToSend(node, loop.now())) {
            return false;
        }
        Attempt waiting = attempts.get(attempt);
        return waiting == null
                || !waiting.request.mayHaveLeft()
                        && router.router().sendValidity().mayStillBeSent(waiting.request.routerId, loop.now());
    }

    /**
     * The latest time at which the last byte of an attempt's request may be handed to a socket, in Unix microseconds;
     * {@link Long#MAX_VALUE} for no limit. Until then its data is fresh enough and a retry safe.
     */
    public long latestEndOfSendMicros(long attempt) {
        Attempt sent = attempts.get(attempt);
        return sent == null ? Long.MAX_VALUE : router.router().sendValidity().latestSendMicros(sent.request.routerId);
    }

    /**
     * The latest time at which the first byte of a request that is routed now may be written to a db node, in Unix
     * microseconds: the end of the grace period of its known drain, or of one that discovery may have sent since.
     */
    public long latestStartMicros(String node) {
        return draining.latestStartMicros(node, discovery.knownUpToMicros());
    }

    // ---- endpoints ----

    /** Applies a complete endpoint list, or a watch event. */
    public void onEndpointListEvent(EndpointListEvent event) {
        endpointUpdates.onEndpointListEvent(event);
    }

    /** The db nodes that are listed, as discovery or an earlier process's list has them. */
    public List<DiscoveredEndpoint> listedEndpoints() {
        return List.copyOf(endpoints.listed());
    }

    /** Why an operator's command to drain or restore a db node is rejected; empty if it is accepted. */
    public Optional<String> drainRejection(boolean drain, String node) {
        return draining.rejectionReason(drain, node, endpoints.listed(node) != null, loop.now());
    }

    /**
     * Applies operators' commands to drain and restore db nodes; once it returns, no new request is sent to a drained
     * db node. May be called before or after {@link #start}.
     *
     * @param source where the commands come from; a db node is drained while any source drains it
     * @param commands all commands of that source, in place of its previous ones
     */
    public void applyDrainCommands(String source, DrainCommands commands) {
        endpointUpdates.applyDrainCommands(source, commands);
    }

    /** Whether a connection that was opened to an instance of the id leads to the instance that is usable now. */
    public boolean isCurrentInstance(String node, EndpointInstance opened, long openedAtMicros) {
        return endpoints.isCurrentInstance(node, opened, openedAtMicros);
    }

    /** The usable instance of an id, or null. */
    public EndpointInstance instance(String node) {
        return endpoints.instance(node);
    }

    /** The endpoint list, sorted by id, with observed roles and log positions; to be called after {@link #start}. */
    public List<EndpointStatus> endpointStatuses() {
        return endpoints.statuses(router.router());
    }

    /** Whether the id has a usable instance. */
    public boolean hasUsableInstance(String node) {
        return endpoints.instance(node) != null;
    }

    /** Whether the endpoint list contains any db node. */
    public boolean hasEndpoints() {
        return !endpoints.listed().isEmpty();
    }

    // ---- the router's actions ----

    private void perform(RouterAction action) {
        if (action instanceof RouterAction.StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof RouterAction.Reject reject) {
            lifecycle.reject(reject);
        } else if (action instanceof RouterAction.Fail fail) {
            lifecycle.fail(fail);
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof RouterAction.CheckHealth check) {
            checkHealth(check.node());
        } else if (action instanceof RouterAction.CloseIdleConnections close) {
            attempts.closeIdleConnections(close.node());
        } else if (action instanceof RouterAction.WatchEndpoints watch) {
            discovery.subscribe(watch.active());
        } else if (action instanceof RouterAction.FetchEndpoints) {
            discovery.fetch();
        } else if (action instanceof RouterAction.SetTimer timer) {
            loop.after(timer.delayMicros(), () -> router.feed(new RouterEvent.TimerFired(timer.handle())));
        } else if (action instanceof RouterAction.LogMessage message) {
            Log.info("router: %s", message.text());
        }
    }

    private void startAttempt(RouterAction.StartAttempt start) {
        OpenRequest open = requests.byRouterId(start.id());
        if (open == null) {
            reportNotSent(start, 0, true);
            return;
        }
        long now = loop.now();
        int number = open.attemptCount++;
        if (number == 0) {
            open.firstAttemptAtMicros = now;
        }
        if (open.isClientDisconnected()) {
            // The client has disconnected, but the core has not processed that yet and may do so much later, so the
            // request is closed now.
            lifecycle.closeDisconnected(open);
            reportNotSent(start, number, true);
            return;
        }
        if (open.mayHaveLeft() || number == 0 && !requests.claimId(open)) {
            lifecycle.endUnstarted(open, number, open.mayHaveLeft());
            reportNotSent(start, number, true);
            return;
        }
        EndpointInstance instance = endpoints.instance(start.node());
        String address = instance == null ? null : instance.address(open.request.protocol());
        if (address == null || attempts.isFull() || fence.isClosed()) {
            reportNotSent(start, number, false);
            return;
        }
        attempts.start(open, number, start, address, now);
    }

    private void reportNotSent(RouterAction.StartAttempt start, int number, boolean requestClosed) {
        router.feed(new RouterEvent.AttemptEnded(
                start.id(),
                number,
                start.node(),
                AttemptOutcome.NOT_SENT,
                0,
                requestClosed,
                LogPosition.UNKNOWN,
                ServerRole.UNKNOWN));
    }

    private void checkHealth(String node) {
        if (!attempts.checkHealth(node, endpoints.instance(node))) {
            healthCheckEnded(node, AttemptOutcome.NOT_SENT, 0, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        }
    }
}
