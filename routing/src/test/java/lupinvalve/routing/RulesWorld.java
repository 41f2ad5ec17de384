package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;
import static lupinvalve.routing.VirtualTime.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A simulation in virtual time of routers, servers and clients. The deployment, its faults and its requests are drawn
 * from a seed; {@link RuleChecker} checks every action of the routers. All times are in microseconds.
 */
final class RulesWorld {
    private static final int MAX_EVENTS = 400_000;
    /** Time after the arrivals within which all requests must end. */
    private static final long SETTLE_MICROS = 30 * SECOND;

    final RuleChecker checker;
    int arrived;
    int served;
    int rejected;
    int failed;
    /** The fault to add, or null. */
    PlantedFault plantedFault;

    private final long seed;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime();
    private final RulesWorldSettings settings;
    private final SimulatedCluster cluster;
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, SimulatedRequest> openRequests = new HashMap<>();
    private final double requestsPerSecond;
    /** Time during which requests arrive. */
    private final long arrivalMicros;

    RulesWorld(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed * 7919);
        settings = new RulesWorldSettings(seed, random);
        checker = new RuleChecker(time, settings);
        cluster = new SimulatedCluster(time, random, settings, this::endAttempt, this::notifyRouters);
        // From 20 % to 110 % of what the warm servers can serve.
        requestsPerSecond = Math.min(400, cluster.requestsPerSecond() * (0.2 + 0.9 * random.nextDouble()));
        // Long enough for 4000 requests, 12 s at most.
        arrivalMicros = (long) Math.min(12 * SECOND, 4000 / requestsPerSecond * SECOND);
        double crossZonePrice = random.nextBoolean() ? 0 : 0.05 * random.nextDouble();
        for (int i = 0; i < settings.routerCount; i++) {
            int router = i;
            RouterSettings routerSettings = settings.router(i, crossZonePrice);
            routers.add(new Router(seed * 1000 + i, routerSettings, time.now(), action -> perform(router, action)));
        }
    }

    List<String> violations() {
        return checker.violations;
    }

    /** The deployment and the outcome of the run, in one line. */
    String describe() {
        return "seed " + seed + ": " + routers.size() + " routers, "
                + cluster.servers().size() + " db nodes, " + settings.zones + " zones, " + settings.groups
                + " groups, " + settings.replication.check() + ", arrived " + arrived + ", served " + served
                + ", rejected " + rejected + ", failed " + failed + ", violations "
                + violations().size();
    }

    // ---- clients ----

    /**
     * Runs the simulation until all requests have ended after the arrivals, its time is over, or {@link #MAX_EVENTS}
     * have been handled.
     */
    void run() {
        List<Endpoint> endpoints =
                cluster.servers().stream().map(SimulatedServer::endpoint).toList();
        for (int i = 0; i < routers.size(); i++) {
            handle(i, new RouterEvent.EndpointUpdate(ListForm.RESTORED, endpoints));
            handle(i, new RouterEvent.EndpointUpdate(ListForm.FULL, endpoints));
        }
        for (int i = 0; i < 4; i++) {
            time.in((long) (arrivalMicros * (0.15 + 0.6 * random.nextDouble())), cluster::injectFault);
        }
        time.in(0, this::submitRequest);
        long end = time.now() + arrivalMicros + SETTLE_MICROS;
        for (int events = 0; events < MAX_EVENTS && time.runNext(end); events++) {
            if (time.now() > end - SETTLE_MICROS && openRequests.isEmpty()) {
                break;
            }
        }
        openRequests
                .values()
                .forEach(request -> checker.recordViolation("answer: none at the end of the run: " + request.id));
    }

    private void handle(int router, RouterEvent event) {
        routers.get(router).handle(time.now(), event, action -> perform(router, action));
    }

    /** Submits a request to a random router, and schedules the next one: arrivals are a Poisson process. */
    private void submitRequest() {
        if (arrived / requestsPerSecond * SECOND > arrivalMicros) {
            return;
        }
        int router = random.nextInt(routers.size());
        int classIndex = random.nextInt(settings.classes.size());
        int group = random.nextInt(settings.groups);
        String id = Integer.toString(arrived++, 36);
        RequestClass requestClass = settings.classes.get(classIndex);
        long waitMicros = (long) (requestClass.deadlineMicros() * (0.4 + 0.6 * random.nextDouble()));
        long sinceWriteMicros = random.nextBoolean() ? 0 : (1 + random.nextInt(900)) * MILLI;
        long requiredPosition = requiredPosition(requestClass.access(), sinceWriteMicros);
        SimulatedRequest request = new SimulatedRequest(
                router, classIndex, group, id, requestClass, time.now() + waitMicros, requiredPosition);
        openRequests.put(id, request);
        // Detects a missing final answer, which is due when the client's wait and the answer slack have passed.
        time.in(waitMicros + settings.rules.answerSlackMicros() + MILLI, () -> checkAnswered(request));
        time.in((long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * SECOND), this::submitRequest);
        String session = "s" + random.nextInt(50);
        handle(
                router,
                new RouterEvent.RequestArrived(id, classIndex, false, session, sinceWriteMicros, group, waitMicros));
    }

    /** The log position required for a strong or session read; {@link SimulatedRequest} computes a bounded read's. */
    private long requiredPosition(RequestClass.Access access, long sinceWriteMicros) {
        if (access == RequestClass.Access.STRONG) {
            return time.now();
        }
        boolean hasWritten = access == RequestClass.Access.SESSION && sinceWriteMicros > 0;
        return hasWritten ? time.now() - sinceWriteMicros : Long.MIN_VALUE;
    }

    private void checkAnswered(SimulatedRequest request) {
        if (!request.closed) {
            checker.recordViolation(
                    "answer: no final answer in time: request " + request.id + " of class " + request.classIndex);
            close(request);
        }
    }

    private void close(SimulatedRequest request) {
        request.closed = true;
        openRequests.remove(request.id);
    }

    // ---- actions of the routers ----

    private void perform(int router, RouterAction action) {
        if (action instanceof RouterAction.StartAttempt start) {
            startAttempt(router, start);
        } else if (action instanceof RouterAction.Reject reject) {
            reject(openRequests.get(reject.id()));
        } else if (action instanceof RouterAction.Fail fail) {
            fail(openRequests.get(fail.id()));
        } else if (action instanceof RouterAction.CheckHealth check) {
            SimulatedServer server = cluster.server(check.node());
            time.in(2 * MILLI, () -> handle(router, healthCheckEnded(server)));
        } else if (action instanceof RouterAction.SetTimer timer) {
            time.in(timer.delayMicros(), () -> handle(router, new RouterEvent.TimerFired(timer.handle())));
        } else if (action instanceof RouterAction.WatchEndpoints && random.nextInt(4) == 0) {
            time.in(50 * MILLI, () -> handle(router, new RouterEvent.EndpointUpdate(ListForm.UNAVAILABLE, List.of())));
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            SimulatedRequest request = openRequests.get(cancel.id());
            if (request != null && request.inFlight != null) {
                endAttempt(request.inFlight, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void reject(SimulatedRequest request) {
        if (request == null || plantedFault == PlantedFault.ANSWER_WITHHELD && random.nextInt(4) == 0) {
            return;
        }
        checker.rejected(request);
        rejected++;
        close(request);
    }

    private void fail(SimulatedRequest request) {
        if (request != null) {
            failed++;
            close(request);
        }
    }

    private RouterEvent healthCheckEnded(SimulatedServer server) {
        return server.isUp()
                ? new RouterEvent.HealthCheckEnded(
                        server.id, AttemptOutcome.SERVED, 2 * MILLI, server.position(), server.role())
                : new RouterEvent.HealthCheckEnded(
                        server.id, AttemptOutcome.NOT_CONNECTED, 2 * MILLI, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    private void startAttempt(int router, RouterAction.StartAttempt start) {
        SimulatedRequest request = openRequests.get(start.id());
        if (request == null || request.router != router) {
            checker.recordViolation(
                    "answer: attempt after the request's end, or by another router: request " + start.id());
            return;
        }
        SimulatedServer server = attemptedServer(request, cluster.server(start.node()));
        checker.attemptStarted(request, server);
        request.attempts++;
        SimulatedAttempt attempt = new SimulatedAttempt(request, request.attempts - 1, server, time.now());
        request.inFlight = attempt;
        long timeoutMicros = start.timeoutMicros() > 0 ? start.timeoutMicros() : Long.MAX_VALUE;
        time.in(
                Math.min(request.expires - time.now(), timeoutMicros),
                () -> endAttempt(attempt, AttemptOutcome.TIMED_OUT));
        if (server.inSlowStart()) {
            checker.attemptStartedInSlowStart(server);
        }
        time.in(MILLI, () -> server.receive(attempt));
    }

    /** The server that the router selected, or the one that a router with the planted fault would select. */
    private SimulatedServer attemptedServer(SimulatedRequest request, SimulatedServer selected) {
        boolean faulty = plantedFault == PlantedFault.READ_FROM_ANY_REPLICA
                || plantedFault == PlantedFault.SLOW_START_IGNORED && !selected.inSlowStart()
                || plantedFault == PlantedFault.SENT_TO_DRAINING_SERVER;
        return faulty
                ? cluster.servers().stream()
                        .filter(server -> server.group == request.group && isFaultyChoice(request, server))
                        .findFirst()
                        .orElse(selected)
                : selected;
    }

    private boolean isFaultyChoice(SimulatedRequest request, SimulatedServer server) {
        return switch (plantedFault) {
            case READ_FROM_ANY_REPLICA -> request.requestClass.access() == RequestClass.Access.SESSION
                    && !server.isPrimary();
            case SLOW_START_IGNORED -> server.inSlowStart();
            default -> server.listed == EndpointState.DRAINING;
        };
    }

    // ---- events for the routers ----

    private void endAttempt(SimulatedAttempt attempt, AttemptOutcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        SimulatedRequest request = attempt.request;
        SimulatedServer server = attempt.server;
        if (!outcome.neverRan) {
            request.mayHaveRunSince = Math.min(request.mayHaveRunSince, attempt.sent);
        }
        request.inFlight = request.inFlight == attempt ? null : request.inFlight;
        boolean answered = outcome == AttemptOutcome.SERVED
                || outcome == AttemptOutcome.MISDIRECTED
                || outcome == AttemptOutcome.REJECTED
                || outcome == AttemptOutcome.ERROR;
        ServerRole role = answered ? server.role() : ServerRole.UNKNOWN;
        if (answered) {
            checker.roleStated(request.router, server, role);
        }
        if (outcome == AttemptOutcome.SERVED && !request.closed) {
            served++;
            close(request);
        }
        // With the planted fault, the router takes a request that may have run for one that never ran.
        boolean reportedAsNeverRan = plantedFault == PlantedFault.WRITE_REPEATED && outcome == AttemptOutcome.TIMED_OUT;
        handle(
                request.router,
                new RouterEvent.AttemptEnded(
                        request.id,
                        attempt.number,
                        server.id,
                        reportedAsNeverRan ? AttemptOutcome.NOT_CONNECTED : outcome,
                        time.now() - attempt.sent,
                        request.closed,
                        answered ? server.position() : LogPosition.UNKNOWN,
                        role));
    }

    private void notifyRouters(SimulatedServer server) {
        for (int i = 0; i < routers.size(); i++) {
            handle(i, new RouterEvent.EndpointUpdate(ListForm.UPDATE, List.of(server.endpoint())));
        }
    }
}
