package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the actions of the simulated routers against the platform's rules for routers, and records each violation. */
final class RuleChecker {
    /** The violations found; each text begins with the name of the rule. */
    final List<String> violations = new ArrayList<>();

    private final VirtualTime time;
    private final RulesWorldSettings settings;
    /** By router number and server id: whether the role that the server last stated to the router is replica. */
    private final Map<String, Boolean> statedReplica = new HashMap<>();

    RuleChecker(VirtualTime time, RulesWorldSettings settings) {
        this.time = time;
        this.settings = settings;
    }

    void recordViolation(String violation) {
        violations.add(violation);
    }

    /** Records that a server has stated its role to a router. */
    void roleStated(int router, SimulatedServer server, ServerRole role) {
        statedReplica.put(router + server.id, role == ServerRole.REPLICA);
    }

    /**
     * Checks the rejection of a request: it must have no attempt in flight and, unless its effect is {@code SAFE}, must
     * not have run, as the client may then retry it.
     */
    void rejected(SimulatedRequest request) {
        boolean mayHaveRun = request.mayHaveRunSince != Long.MAX_VALUE;
        if (request.inFlight != null || mayHaveRun && request.requestClass.effect() != RequestClass.Effect.SAFE) {
            recordViolation("effect: rejected in flight, or although it may have run: request " + request.id);
        }
    }

    /** Checks the start of an attempt at a server, called before the attempt is counted. */
    void attemptStarted(SimulatedRequest request, SimulatedServer server) {
        checkEffect(request, server);
        checkDrain(server);
        checkFreshness(request, server);
    }

    private void checkEffect(SimulatedRequest request, SimulatedServer server) {
        if (server.group != request.group
                || request.inFlight != null
                || request.attempts >= settings.limits.maxAttempts()) {
            recordViolation("effect: attempt at another group, second in flight, or over the maximum: " + request.id);
        }
        RequestClass requestClass = request.requestClass;
        boolean mayHaveRun = request.mayHaveRunSince != Long.MAX_VALUE;
        if (mayHaveRun
                && (requestClass.effect() == RequestClass.Effect.UNSAFE
                        || requestClass.effect() == RequestClass.Effect.KEYED
                                && time.now() >= request.mayHaveRunSince + requestClass.keyTtlMicros())) {
            recordViolation("effect: retried although it may run twice: request " + request.id);
        }
    }

    private void checkDrain(SimulatedServer server) {
        long now = time.now();
        if (server.listed != EndpointState.LIVE && now > server.drainNotified + settings.rules.drainGraceMicros()) {
            long sinceMillis = (now - server.drainNotified) / MILLI;
            recordViolation("drain: attempt at server " + server.id + " " + sinceMillis + " ms after the notification");
        }
    }

    private void checkFreshness(SimulatedRequest request, SimulatedServer server) {
        RequestClass.Access access = request.requestClass.access();
        long requiredPosition = request.requiredPosition(time.now());
        boolean read = access != RequestClass.Access.WRITE && access != RequestClass.Access.ANY;
        // A router may read from a server that last stated to be the primary, though it no longer is.
        boolean takenForPrimary = !statedReplica.getOrDefault(request.router + server.id, Boolean.TRUE);
        if (read
                && settings.replication.check() == RouterSettings.FreshnessCheck.SILENT
                && server.position() < requiredPosition
                && !server.isPrimary()
                && !takenForPrimary) {
            long behindMillis = (requiredPosition - server.position()) / MILLI;
            recordViolation("stale: request " + request.id + " at server " + server.id + ", which is " + behindMillis
                    + " ms behind the required position");
        }
    }

    /** Checks the start of an attempt at a server in slow start against its capacity: all routers count together. */
    void attemptStartedInSlowStart(SimulatedServer server) {
        String overload = server.attemptInSlowStart(settings.routerCount);
        if (overload != null) {
            recordViolation("slow start: " + overload);
        }
    }
}
