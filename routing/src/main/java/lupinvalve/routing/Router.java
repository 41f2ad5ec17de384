package lupinvalve.routing;

import java.util.function.Consumer;

/**
 * The routing decisions of one router in front of groups that each consist of a primary and its replicas. It handles
 * {@link RouterEvent}s and emits {@link RouterAction}s; each rule has its own type, and this class passes the events on
 * to them.
 *
 * <p>Reads see their session's writes by log position: the position in the answer to a write becomes the session token,
 * the session's reads go to replicas that have reached it, and a read for which there is no such replica waits and then
 * falls back to the primary; docs/design.md gives the reasons. There is one instance per router, without clock, thread
 * or I/O of its own. It is not thread-safe, and the action sink must not call it while it handles an event.
 */
public final class Router {
    /** Interval of the timer while requests are queued. */
    private static final long QUEUE_TICK_MICROS = 10_000;
    /** Interval of the timer otherwise, and of the periodic work on each server. */
    private static final long SERVER_TICK_MICROS = 100_000;

    private final RouterContext context;
    private final ServerTable servers = new ServerTable();
    private final ReplicationLag lag;
    private final SlowStart slowStart;
    private final HealthChecker healthChecker;
    private final OutlierDetection outliers;
    private final RestartDetector restarts;
    private final IdleTimeout idleTimeout;
    private final PrimarySearch primarySearch;
    private final PrimaryTracker primaries;
    private final RetryPolicy retryPolicy;
    private final AttemptDispatcher dispatcher;
    private final AttemptFeedback feedback;
    private final LongReadPlacement longReads;
    private final LoadShedding shedding;
    private final RequestLifecycle lifecycle;
    private final SendValidity sendValidity;
    private final RequestQueue queue;
    private final EndpointList endpointList;
    private final EndpointWatch endpointWatch;
    private final SessionTokens tokens;
    private final ClientRetryDetector clientRetries;
    private long nextServerTickMicros;
    private long nextTickMicros = Long.MAX_VALUE;

    /** Creates a router whose random choices derive from {@code seed}; its first actions go to {@code actions}. */
    public Router(long seed, RouterSettings settings, long nowMicros, Consumer<? super RouterAction> actions) {
        context = new RouterContext(settings, seed, nowMicros, actions);
        LoadStatistics load = new LoadStatistics(context);
        InFlightLimit limit = new InFlightLimit(context, load);
        lag = new ReplicationLag(context);
        slowStart = new SlowStart(context, servers, load, limit);
        idleTimeout = new IdleTimeout(context);
        healthChecker = new HealthChecker(context, lag, limit);
        outliers = new OutlierDetection(context, healthChecker);
        restarts = new RestartDetector(context, slowStart, idleTimeout);
        ServerEligibility eligibility = new ServerEligibility(context, outliers);
        primarySearch = new PrimarySearch(context, eligibility, healthChecker);
        primaries = new PrimaryTracker(context, primarySearch);
        endpointList = new EndpointList(context, servers, limit, slowStart, primaries);
        endpointWatch = new EndpointWatch(context);
        retryPolicy = new RetryPolicy(context);
        shedding = new LoadShedding(context, load, limit);
        Admission admission = new Admission(limit, shedding, slowStart);
        AttemptTimeout timeouts = new AttemptTimeout(context, load, lag, idleTimeout);
        dispatcher = new AttemptDispatcher(context, timeouts, idleTimeout, slowStart, retryPolicy);
        feedback = new AttemptFeedback(context, outliers, restarts, limit, load, slowStart, idleTimeout);
        PrimaryFallback fallback = new PrimaryFallback(context, lag, load, eligibility, admission, dispatcher);
        longReads = new LongReadPlacement(context, eligibility, slowStart, admission, fallback, dispatcher);
        WritePlacement writes = new WritePlacement(primarySearch, eligibility, admission, retryPolicy, dispatcher);
        ReplicaCost costs = new ReplicaCost(context, load, limit, slowStart);
        ReplicaSelector reads = new ReplicaSelector(
                context, lag, eligibility, admission, costs, longReads, fallback, healthChecker, dispatcher);
        RequestPlacement placement = new RequestPlacement(retryPolicy, writes, longReads, reads);
        QueuedRequests queued = new QueuedRequests();
        lifecycle = new RequestLifecycle(context, queued, retryPolicy, new RetryAfter(context));
        sendValidity = new SendValidity(context, lifecycle, retryPolicy, lag);
        queue = new RequestQueue(context, servers, queued, new QueueDeadline(load), placement, lifecycle);
        tokens = new SessionTokens(context);
        clientRetries = new ClientRetryDetector(settings.classes());
        tick();
    }

    /** Handles one event; the resulting actions go to {@code actions} before this returns. */
    public void handle(long nowMicros, RouterEvent event, Consumer<? super RouterAction> actions) {
        context.advanceTo(nowMicros);
        context.sendActionsTo(actions);
        if (event instanceof RouterEvent.RequestArrived arrival) {
            requestArrived(arrival);
        } else if (event instanceof RouterEvent.AttemptEnded ended) {
            attemptEnded(ended);
        } else if (event instanceof RouterEvent.TimerFired && nowMicros >= nextTickMicros) {
            tick();
        } else if (event instanceof RouterEvent.HealthCheckEnded check) {
            healthCheckEnded(check);
        } else if (event instanceof RouterEvent.EndpointUpdate update) {
            endpointsUpdated(update);
        } else if (event instanceof RouterEvent.ClientDisconnected disconnected) {
            lifecycle.clientDisconnected(disconnected.id());
        }
        if (queue.size() > 0 && nextTickMicros > nowMicros + QUEUE_TICK_MICROS) {
            setTimer(QUEUE_TICK_MICROS);
        }
    }

    /** The greatest log position that a server has stated, or {@link LogPosition#UNKNOWN}. */
    public long position(String node) {
        Server server = servers.server(node);
        return server == null ? LogPosition.UNKNOWN : server.lag.position();
    }

    /** Whether and until when a started attempt may be sent. */
    public SendValidity sendValidity() {
        return sendValidity;
    }

    /** Whether a server is currently taken for the primary of its group. */
    public boolean isPrimary(String node) {
        Server server = servers.server(node);
        return server != null && server.group.primary() == server;
    }

    /** Whether a known server gets no reads because attempts at it fail or stay unanswered. */
    public boolean isExcluded(String node) {
        Server server = servers.server(node);
        return server != null && (!outliers.isHealthy(server) || outliers.isPausedForErrors(server));
    }

    int serverCount() {
        return servers.servers().size();
    }

    private void requestArrived(RouterEvent.RequestArrived arrival) {
        ServerGroup group = servers.group(arrival.group());
        int classIndex = arrival.classIndex();
        RequestClass requestClass = context.settings().classes().get(classIndex);
        if (group == null) {
            lifecycle.rejectUnknownGroup(arrival, requestClass);
            return;
        }
        healthChecker.requestArrived(group);
        boolean clientRetry =
                clientRetries.recordAndCheckLateRetry(classIndex, arrival.waitMicros()) || arrival.repeated();
        PendingRequest request = new PendingRequest(
                arrival,
                requestClass,
                group,
                context.nowMicros(),
                tokens.requiredPosition(arrival, requestClass.access()),
                shedding.draw(clientRetry),
                clientRetry,
                longReads.isLong(classIndex));
        lifecycle.open(request);
        if (context.nowMicros() >= request.answerDueMicros()) {
            lifecycle.giveUp(request);
        } else {
            queue.placeOrEnqueue(request);
        }
    }

    private void attemptEnded(RouterEvent.AttemptEnded ended) {
        PendingRequest request = lifecycle.find(ended.id());
        Attempt attempt = request == null ? null : request.inFlight();
        if (attempt == null || attempt.number() != ended.attempt()) {
            return;
        }
        dispatcher.ended(attempt, ended.outcome());
        feedback.attemptEnded(attempt, ended.outcome(), ended.elapsedMicros());
        serverReported(attempt.server(), ended.position(), ended.role(), true);
        if (ended.outcome() == AttemptOutcome.SERVED && request.isWrite()) {
            tokens.recordWrite(request.arrival, ended.position());
        }
        if (ended.requestClosed() || request.isClosed()) {
            lifecycle.forget(request);
        } else if (retryPolicy.mayRetry(request)) {
            queue.placeOrEnqueue(request);
        } else {
            lifecycle.giveUp(request);
        }
        queue.dispatch(request.group);
    }

    private void healthCheckEnded(RouterEvent.HealthCheckEnded check) {
        Server server = servers.server(check.node());
        if (server == null) {
            return;
        }
        healthChecker.checkEnded(server, check.outcome());
        restarts.recordHealthCheck(server, check.outcome());
        outliers.recordHealthCheck(server, check.outcome());
        if (check.outcome() == AttemptOutcome.SERVED) {
            serverReported(server, check.position(), check.role(), false);
            queue.dispatch(server.group);
        }
    }

    private void serverReported(Server server, long position, ServerRole role, boolean inAnswer) {
        lag.record(server, position, inAnswer);
        primaries.record(server, role, position, inAnswer);
    }

    private void endpointsUpdated(RouterEvent.EndpointUpdate update) {
        endpointWatch.received(update.form());
        if (update.form() != ListForm.UNAVAILABLE) {
            endpointList.apply(update);
        }
        servers.groups().forEach(queue::dispatch);
    }

    private void tick() {
        for (ServerGroup group : servers.groups()) {
            // Dispatch before expiry: where the fallback to the primary and the queue deadline are both due at this
            // tick, the request still gets its attempt.
            queue.dispatch(group);
            queue.expire(group);
            primarySearch.tick(group);
        }
        if (context.nowMicros() >= nextServerTickMicros) {
            nextServerTickMicros = context.nowMicros() + SERVER_TICK_MICROS;
            idleTimeout.grow();
            endpointList.removeDeparted();
            for (Server server : servers.servers()) {
                idleTimeout.tick(server);
                outliers.tick(server);
            }
        }
        endpointWatch.tick();
        setTimer(queue.size() > 0 ? QUEUE_TICK_MICROS : SERVER_TICK_MICROS);
    }

    private void setTimer(long delayMicros) {
        nextTickMicros = context.nowMicros() + delayMicros;
        context.perform(new RouterAction.SetTimer(delayMicros, 0));
    }
}
