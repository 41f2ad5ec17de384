package lupinvalve.core;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ClientDrain;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.maintenance.Metrics;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/**
 * Wires the router to frontends, backends and discovery: turns what they report into the router's events and performs
 * the router's actions, so that each request gets exactly one final answer. Knows no wire. All tables belong to the
 * core thread, that of {@link #loop}; a method may be called there only, unless it says otherwise.
 */
public class Pooler {
    /** Open requests, and attempts in flight; the bound on client connections keeps far below it. */
    private static final int TABLE_CAPACITY = 8192;
    /** How often the metrics of db nodes are updated; they may lag by 0.5 s. */
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
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final EndpointDraining draining;
    private final EndpointUpdates endpointUpdates;
    private final RouterDriver router;
    private EndpointDiscovery discovery;

    /** A pooler that runs on the loop's thread once that has been started. */
    public Pooler(EventLoop loop, RouterSettings settings) {
        this.loop = loop;
        this.settings = settings;
        metrics =
                new Metrics(settings.classes().stream().map(RequestClass::name).toList());
        RequestLog log = new RequestLog(loop);
        requests = new RequestTable(loop, metrics, log, TABLE_CAPACITY);
        attempts = new AttemptTable(loop, log, TABLE_CAPACITY, this::attemptAbandoned);
        router = new RouterDriver(loop, this::perform);
        lifecycle = new RequestLifecycle(loop, settings, metrics, fence, log, requests, attempts, router);
        draining = new EndpointDraining(settings.rules());
        endpointUpdates = new EndpointUpdates(loop, endpoints, draining, attempts, router, discoveryReadiness);
    }

    // ---- parts ----

    /** Whether this pooler's clients are drained. */
    public ClientDrain clientDrain() {
        return clientDrain;
    }

    /** Counters and gauges; from any thread. */
    public Metrics metrics() {
        return metrics;
    }

    /** Whether discovery has notified this process of anything yet; from any thread. */
    public DiscoveryReadiness discoveryReadiness() {
        return discoveryReadiness;
    }

    /** The core thread; from any thread. */
    public EventLoop loop() {
        return loop;
    }

    /** The router's settings; from any thread. */
    public RouterSettings settings() {
        return settings;
    }

    /** Adds a protocol to db nodes; before {@link #start}. */
    public void addBackend(String protocol, Backend backend) {
        attempts.addBackend(protocol, backend);
    }

    /** Sets where the endpoint list comes from; before {@link #start}. */
    public void discovery(EndpointDiscovery source) {
        discovery = source;
    }

    /**
     * Sets the fence; before {@link #start}. While it says no, requests are rejected at once, and what has been decided
     * and not been sent is not sent.
     */
    public void fence(BooleanSupplier mayAct) {
        fence.set(mayAct);
    }

    /** Sets what remembers session tokens; before {@link #start}. */
    public void sessionTokens(SessionTokenStore tokens) {
        lifecycle.sessionTokens(tokens);
    }

    /** Starts the router with the endpoint list that an earlier process had. */
    public void start(long seed, List<DiscoveredEndpoint> restored) {
        List<RouterAction> first = router.start(seed, settings);
        onEndpointListEvent(new EndpointListEvent(ListForm.RESTORED, restored));
        first.forEach(this::perform);
    }

    /**
     * Updates the metrics of db nodes from now on. Only for poolers that operators can query, as it has its cost; after
     * {@link #start}.
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
     * Whether a request with this id of its client's is open. Another with the same id must not be submitted: db nodes
     * would take the two for one.
     */
    public boolean hasOpenRequest(String id) {
        return requests.hasClientId(id);
    }

    /** Requests that are open. */
    public int openRequests() {
        return requests.size();
    }

    /** The program shuts down: requests that come from now on are answered by then. */
    public void answerBy(long atMicros) {
        lifecycle.answerBy(atMicros);
    }

    /**
     * Takes a request, which gets one final answer, maybe before this returns.
     *
     * @param ticket number under which the frontend gets the answer
     * @return a handle for {@link #clientDisconnected}, or {@link HandleTable#NO_HANDLE} where it has been rejected
     */
    public long submit(Frontend frontend, long ticket, ClientRequest request) {
        return lifecycle.submit(frontend, ticket, request);
    }

    /** The client of a request has disconnected, or cancelled it: it gets no answer any more. */
    public void clientDisconnected(long handle) {
        lifecycle.clientDisconnected(handle);
    }

    // ---- attempts ----

    /** An answer has started to come, of which the backend has not all; says what to do with it. */
    public StreamDecision answerStarted(long attempt, Object first, Backend.StreamSource source) {
        return lifecycle.answerStarted(attempt, first, source);
    }

    /** A further chunk of an answer for which {@link #answerStarted} said {@link StreamDecision#PASS_ON}. */
    public void answerChunk(long attempt, byte[] chunk) {
        lifecycle.answerChunk(attempt, chunk);
    }

    /**
     * An attempt has ended; ignored for one that had ended before. The first served one is its request's final answer.
     *
     * @param reported the outcome as the db node or the connection gave it
     * @param answer in the protocol's own form; null unless served
     * @param position the answer's log position, or {@link LogPosition#UNKNOWN}
     */
    public void attemptEnded(long handle, AttemptOutcome reported, Object answer, long position, ServerRole role) {
        lifecycle.attemptEnded(handle, reported, answer, position, role);
    }

    private void attemptAbandoned(Attempt attempt, AttemptOutcome outcome) {
        lifecycle.attemptEnded(attempt.handle, outcome, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    /** A health check has ended; position and role are those of the db node's load report. */
    public void healthCheckEnded(
            String node, AttemptOutcome outcome, long elapsedMicros, long position, ServerRole role) {
        router.feed(new RouterEvent.HealthCheckEnded(node, outcome, elapsedMicros, position, role));
    }

    /**
     * Whether what has waited for a connection to an instance may be sent on it. Since it was decided, the instance may
     * have begun to drain, its client may have disconnected, and the time may be over in which a retry of the write or
     * the age of the read's data is allowed; what counts is when the first byte goes out.
     *
     * @param attempt or {@link HandleTable#NO_HANDLE} for a health check
     */
    public boolean maySend(String node, EndpointInstance opened, long openedAtMicros, long attempt) {
        if (fence.isClosed()
                || !isCurrentInstance(node, opened, openedAtMicros)
                || draining.isGraceSpent(node, loop.now())) {
            return false;
        }
        Attempt waiting = attempts.get(attempt);
        return waiting == null
                || !waiting.request.isClientDisconnected()
                        && router.router().mayStillStart(waiting.request.routerId, loop.now());
    }

    /**
     * Until when the first byte of what is decided now may be written to a db node, in Unix microseconds: a drain that
     * has been notified meanwhile binds by then, or one that is known.
     */
    public long latestStartMicros(String node) {
        return draining.latestStartMicros(node, discovery.knownUpToMicros());
    }

    // ---- endpoints ----

    /** The endpoint list, or a watch event of it, has come. */
    public void onEndpointListEvent(EndpointListEvent event) {
        endpointUpdates.onEndpointListEvent(event);
    }

    /** Why an operator's command to drain or restore a db node is rejected; empty where it can be taken. */
    public Optional<String> drainRejection(boolean drain, String node) {
        return draining.rejectionReason(drain, node, endpoints.listed(node) != null, loop.now());
    }

    /**
     * Takes over operators' commands to drain and restore db nodes; nothing new is sent to a drained one by the time
     * that this returns. Before or after {@link #start}.
     *
     * @param source which way they came: what is drained by any source is drained
     */
    public void applyDrainCommands(String source, DrainCommands commands) {
        endpointUpdates.applyDrainCommands(source, commands);
    }

    /** Whether a connection that was opened to an instance of the id leads to the one that may be used now. */
    public boolean isCurrentInstance(String node, EndpointInstance opened, long openedAtMicros) {
        return endpoints.isCurrentInstance(node, opened, openedAtMicros);
    }

    /** The instance that may be used under an id, or null. */
    public EndpointInstance instance(String node) {
        return endpoints.instance(node);
    }

    /** The endpoint list by id, with the roles and log positions that db nodes have shown; after {@link #start}. */
    public List<EndpointStatus> endpointStatuses() {
        return endpoints.statuses(router.router());
    }

    /** Whether an instance may be used under the id. */
    public boolean isListed(String node) {
        return endpoints.instance(node) != null;
    }

    /** Whether the endpoint list names any db node. */
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
            notSent(start, 0, true);
            return;
        }
        long now = loop.now();
        int number = open.attempts++;
        if (number == 0) {
            open.firstSentAtMicros = now;
        }
        if (open.isClientDisconnected()) {
            // The core has not been notified of its client's end yet, which may be long ago by then.
            lifecycle.closeDisconnected(open);
            notSent(start, number, true);
            return;
        }
        EndpointInstance instance = endpoints.instance(start.node());
        String address = instance == null ? null : instance.address(open.request.protocol());
        if (address == null || attempts.isFull() || fence.isClosed()) {
            notSent(start, number, false);
            return;
        }
        attempts.start(open, number, start, address, now);
    }

    private void notSent(RouterAction.StartAttempt start, int number, boolean requestClosed) {
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
