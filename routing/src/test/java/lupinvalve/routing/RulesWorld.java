package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;
import static lupinvalve.routing.VirtualTime.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A small world in virtual time. It draws a deployment, its faults and its clients' requests from a seed and plays
 * routers in it; {@link RuleChecker} notes each rule that an action breaks.
 */
final class RulesWorld {
    private static final int MOST_EVENTS = 400_000;
    private static final long AFTERMATH = 30 * SECOND;

    final RuleChecker checker;
    int arrived;
    int served;
    int rejected;
    int failed;
    PlantedFault planted;
    private final long seed;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime();
    private final RulesWorldSettings settings;
    private final SimulatedCluster cluster;
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, SimulatedRequest> open = new HashMap<>();
    /** Requests a second, and for how long they come. */
    private final double rate;

    private final long length;

    RulesWorld(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed * 7919);
        settings = new RulesWorldSettings(seed, random);
        checker = new RuleChecker(time, settings);
        cluster = new SimulatedCluster(time, random, settings, this::attemptEnds, this::listChanges);
        rate = Math.min(400, cluster.requestsPerSecond() * (0.2 + 0.9 * random.nextDouble()));
        length = (long) Math.min(12 * SECOND, 4000 / rate * SECOND);
        double price = random.nextBoolean() ? 0 : 0.05 * random.nextDouble();
        for (int i = 0; i < settings.routerCount; i++) {
            int self = i;
            RouterSettings ofRouter = settings.router(i, price);
            routers.add(new Router(seed * 1000 + i, ofRouter, time.now(), action -> perform(self, action)));
        }
    }

    List<String> broken() {
        return checker.broken;
    }

    String describe() {
        return "seed " + seed + ": " + routers.size() + " routers, "
                + cluster.servers().size() + " db nodes, " + settings.zones + " zones, " + settings.groups
                + " groups, " + settings.replication.check() + ", asked " + arrived + ", served " + served
                + ", refused " + rejected + ", failed " + failed + ", broken " + broken().size();
    }

    // ---- clients ----

    void run() {
        List<Endpoint> members =
                cluster.servers().stream().map(SimulatedServer::endpoint).toList();
        for (int i = 0; i < routers.size(); i++) {
            handle(i, new RouterEvent.EndpointUpdate(ListForm.RESTORED, members));
            handle(i, new RouterEvent.EndpointUpdate(ListForm.FULL, members));
        }
        for (int i = 0; i < 4; i++) {
            time.in((long) (length * (0.15 + 0.6 * random.nextDouble())), cluster::injectFault);
        }
        time.in(0, this::requestArrives);
        long end = time.now() + length + AFTERMATH;
        for (int events = 0; events < MOST_EVENTS && time.runNext(end); events++) {
            if (time.now() > end - AFTERMATH && open.isEmpty()) {
                break;
            }
        }
        open.values().forEach(request -> checker.breaks("answer: none for " + request.id));
    }

    private void handle(int router, RouterEvent event) {
        routers.get(router).handle(time.now(), event, action -> perform(router, action));
    }

    private void requestArrives() {
        if (arrived / rate * SECOND > length) {
            return;
        }
        int router = random.nextInt(routers.size());
        int classIndex = random.nextInt(settings.classes.size());
        int group = random.nextInt(settings.groups);
        String id = Integer.toString(arrived++, 36);
        RequestClass requestClass = settings.classes.get(classIndex);
        long wait = (long) (requestClass.deadlineMicros() * (0.4 + 0.6 * random.nextDouble()));
        long sinceWrite = random.nextBoolean() ? 0 : (1 + random.nextInt(900)) * MILLI;
        long required = requiredPosition(requestClass.access(), sinceWrite);
        SimulatedRequest request =
                new SimulatedRequest(router, classIndex, group, id, requestClass, time.now() + wait, required);
        open.put(id, request);
        // A router that gives no answer is found by this: the final one is due with a little slack.
        time.in(wait + settings.rules.answerSlackMicros() + MILLI, () -> answerDue(request));
        time.in((long) (-Math.log(1 - random.nextDouble()) / rate * SECOND), this::requestArrives);
        String session = "s" + random.nextInt(50);
        handle(router, new RouterEvent.RequestArrived(id, classIndex, false, session, sinceWrite, group, wait));
    }

    private long requiredPosition(RequestClass.Access access, long sinceWrite) {
        if (access == RequestClass.Access.STRONG) {
            return time.now();
        }
        boolean hasWritten = access == RequestClass.Access.SESSION && sinceWrite > 0;
        return hasWritten ? time.now() - sinceWrite : Long.MIN_VALUE;
    }

    private void answerDue(SimulatedRequest request) {
        if (!request.closed) {
            checker.breaks("answer: none in time for " + request.id + " of class " + request.classIndex);
            close(request);
        }
    }

    private void close(SimulatedRequest request) {
        request.closed = true;
        open.remove(request.id);
    }

    // ---- what routers do ----

    private void perform(int router, RouterAction action) {
        if (action instanceof RouterAction.StartAttempt start) {
            startAttempt(router, start);
        } else if (action instanceof RouterAction.Reject reject) {
            reject(open.get(reject.id()));
        } else if (action instanceof RouterAction.Fail fail) {
            fail(open.get(fail.id()));
        } else if (action instanceof RouterAction.CheckHealth check) {
            SimulatedServer server = cluster.server(check.node());
            time.in(2 * MILLI, () -> handle(router, healthCheckEnded(server)));
        } else if (action instanceof RouterAction.SetTimer timer) {
            time.in(timer.delayMicros(), () -> handle(router, new RouterEvent.TimerFired(timer.handle())));
        } else if (action instanceof RouterAction.WatchEndpoints && random.nextInt(4) == 0) {
            time.in(50 * MILLI, () -> handle(router, new RouterEvent.EndpointUpdate(ListForm.UNAVAILABLE, List.of())));
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            SimulatedRequest request = open.get(cancel.id());
            if (request != null && request.inFlight != null) {
                attemptEnds(request.inFlight, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void reject(SimulatedRequest request) {
        if (request == null || planted == PlantedFault.ANSWER_WITHHELD && random.nextInt(4) == 0) {
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
        SimulatedRequest request = open.get(start.id());
        if (request == null || request.router != router) {
            checker.breaks("answer: sent after its end: " + start.id());
            return;
        }
        SimulatedServer server = serverOrMisled(request, cluster.server(start.node()));
        checker.attemptStarts(request, server);
        request.attempts++;
        SimulatedAttempt attempt = new SimulatedAttempt(request, request.attempts - 1, server, time.now());
        request.inFlight = attempt;
        long timeout = start.timeoutMicros() > 0 ? start.timeoutMicros() : Long.MAX_VALUE;
        time.in(Math.min(request.expires - time.now(), timeout), () -> attemptEnds(attempt, AttemptOutcome.TIMED_OUT));
        if (server.inSlowStart()) {
            checker.attemptInSlowStart(server);
        }
        time.in(MILLI, () -> server.receive(attempt));
    }

    /** The server that the router selected, or the one that a router with a planted fault would. */
    private SimulatedServer serverOrMisled(SimulatedRequest request, SimulatedServer selected) {
        boolean misled = planted == PlantedFault.READ_FROM_ANY_REPLICA
                || planted == PlantedFault.SLOW_START_IGNORED && !selected.inSlowStart()
                || planted == PlantedFault.SENT_TO_DRAINING_SERVER;
        return misled
                ? cluster.servers().stream()
                        .filter(server -> server.group == request.group && isFaultyChoice(request, server))
                        .findFirst()
                        .orElse(selected)
                : selected;
    }

    private boolean isFaultyChoice(SimulatedRequest request, SimulatedServer server) {
        return switch (planted) {
            case READ_FROM_ANY_REPLICA -> request.requestClass.access() == RequestClass.Access.SESSION
                    && !server.isPrimary();
            case SLOW_START_IGNORED -> server.inSlowStart();
            default -> server.listed == EndpointState.DRAINING;
        };
    }

    // ---- what routers hear ----

    private void attemptEnds(SimulatedAttempt attempt, AttemptOutcome outcome) {
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
        // A router that takes what may have run for what never did.
        boolean repeats = planted == PlantedFault.WRITE_REPEATED && outcome == AttemptOutcome.TIMED_OUT;
        handle(
                request.router,
                new RouterEvent.AttemptEnded(
                        request.id,
                        attempt.number,
                        server.id,
                        repeats ? AttemptOutcome.NOT_CONNECTED : outcome,
                        time.now() - attempt.sent,
                        request.closed,
                        answered ? server.position() : LogPosition.UNKNOWN,
                        role));
    }

    private void listChanges(SimulatedServer server) {
        for (int i = 0; i < routers.size(); i++) {
            handle(i, new RouterEvent.EndpointUpdate(ListForm.UPDATE, List.of(server.endpoint())));
        }
    }
}
