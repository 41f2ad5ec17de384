package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rules of the users' pages: notes each one that an action of a router breaks. */
final class RuleChecker {
    /** What was broken; each note begins with the rule's word. */
    final List<String> broken = new ArrayList<>();

    private final VirtualTime time;
    private final RulesWorldSettings settings;
    /** For a router and a server, whether the latter stated last that it is a replica. */
    private final Map<String, Boolean> statedReplica = new HashMap<>();

    RuleChecker(VirtualTime time, RulesWorldSettings settings) {
        this.time = time;
        this.settings = settings;
    }

    void breaks(String note) {
        broken.add(note);
    }

    /** A server has stated its role to a router. */
    void roleStated(int router, SimulatedServer server, ServerRole role) {
        statedReplica.put(router + server.id, role == ServerRole.REPLICA);
    }

    /** A request is rejected: it must not have run, unless that does no harm. */
    void rejected(SimulatedRequest request) {
        boolean mayHaveRun = request.mayHaveRunSince != Long.MAX_VALUE;
        if (request.inFlight != null || mayHaveRun && request.requestClass.effect() != RequestClass.Effect.SAFE) {
            breaks("effect: refused though it may have run: " + request.id);
        }
    }

    /** An attempt starts. */
    void attemptStarts(SimulatedRequest request, SimulatedServer server) {
        checkEffect(request, server);
        checkDrain(server);
        checkFreshness(request, server);
    }

    private void checkEffect(SimulatedRequest request, SimulatedServer server) {
        if (server.group != request.group
                || request.inFlight != null
                || request.attempts >= settings.limits.maxAttempts()) {
            breaks("effect: another group, a second at a time, or one too many: " + request.id);
        }
        RequestClass requestClass = request.requestClass;
        boolean mayHaveRun = request.mayHaveRunSince != Long.MAX_VALUE;
        if (mayHaveRun
                && (requestClass.effect() == RequestClass.Effect.UNSAFE
                        || requestClass.effect() == RequestClass.Effect.KEYED
                                && time.now() >= request.mayHaveRunSince + requestClass.keyTtlMicros())) {
            breaks("effect: a repeat that may run twice: " + request.id);
        }
    }

    private void checkDrain(SimulatedServer server) {
        long now = time.now();
        if (server.listed != EndpointState.LIVE && now > server.drainNotified + settings.rules.drainGraceMicros()) {
            long since = (now - server.drainNotified) / MILLI;
            breaks("drain: " + server.id + " was listed as draining " + since + " ms ago");
        }
    }

    private void checkFreshness(SimulatedRequest request, SimulatedServer server) {
        RequestClass.Access access = request.requestClass.access();
        long required = request.requiredPosition(time.now());
        boolean read = access != RequestClass.Access.WRITE && access != RequestClass.Access.ANY;
        boolean excused = !statedReplica.getOrDefault(request.router + server.id, Boolean.TRUE);
        if (read
                && settings.replication.check() == RouterSettings.FreshnessCheck.SILENT
                && server.position() < required
                && !server.isPrimary()
                && !excused) {
            long behind = (required - server.position()) / MILLI;
            breaks("stale: " + request.id + " at " + server.id + ", behind by " + behind + " ms");
        }
    }

    /** An attempt starts at a server in slow start: all routers together are held against what it can do. */
    void attemptInSlowStart(SimulatedServer server) {
        String note = server.attemptInSlowStart(settings.routerCount);
        if (note != null) {
            breaks("slow start: " + note);
        }
    }
}
