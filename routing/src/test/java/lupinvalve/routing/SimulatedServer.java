package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated server: cores with a request queue, a capacity that grows after each start of its process, a log position
 * and a role. Times and positions are in microseconds of {@link VirtualTime}.
 */
final class SimulatedServer {
    final String id;
    final int group;
    final int zone;
    private final SimulatedCluster cluster;
    private final int cores;
    /** The speed of each core, where 1 is ordinary. */
    private final double speed;

    private final ArrayDeque<SimulatedAttempt> queue = new ArrayDeque<>();
    /** When attempts were started here since the last start of the process. */
    private final List<Long> attemptTimesInSlowStart = new ArrayList<>();

    private int busyCores;
    /** The number of processes that ran here before the present one. */
    private int incarnation;

    private boolean up = true;
    /** When the present process started; 0 for the first, which is warm. */
    private long started;

    private long position;
    private long lag;
    /** Whether the endpoint list names it as primary. */
    boolean listedPrimary;
    /** Its state in the endpoint list. */
    EndpointState listed = EndpointState.LIVE;
    /** When the list first named it as other than live; the greatest value while it is live. */
    long drainNotified = Long.MAX_VALUE;

    SimulatedServer(String id, int group, int zone, SimulatedCluster cluster) {
        this.id = id;
        this.group = group;
        this.zone = zone;
        this.cluster = cluster;
        cores = 2 + cluster.random.nextInt(5);
        speed = 0.6 + 0.8 * cluster.random.nextDouble();
        lag = (5 + cluster.random.nextInt(300)) * MILLI;
    }

    /** Returns the requests per second that it serves when warm. */
    double requestsPerSecond() {
        return cores * speed * VirtualTime.SECOND / cluster.settings.work;
    }

    int incarnation() {
        return incarnation;
    }

    boolean isUp() {
        return up;
    }

    boolean isPrimary() {
        return cluster.primary(group) == this;
    }

    ServerRole role() {
        return isPrimary() ? ServerRole.PRIMARY : ServerRole.REPLICA;
    }

    void setLag(long micros) {
        lag = micros;
    }

    long lag() {
        return lag;
    }

    /** Returns its log position: the time up to which it has applied all commits. It never goes back. */
    long position() {
        long now = cluster.time.now();
        position = Math.max(position, isPrimary() ? now : now - lag);
        return position;
    }

    Endpoint endpoint() {
        return new Endpoint(id, group, zone, listed, listedPrimary, started);
    }

    boolean inSlowStart() {
        return started > 0 && cluster.time.now() - started < cluster.settings.rules.warmUpMicros();
    }

    /** Returns its present capacity as a part of its capacity when warm, which grows linearly from its start. */
    private double capacityRatio() {
        RouterSettings.Rules rules = cluster.settings.rules;
        double elapsedRatio = (double) (cluster.time.now() - started) / rules.warmUpMicros();
        double capacityRatio = rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * elapsedRatio;
        return started == 0 ? 1 : Math.min(1, capacityRatio);
    }

    /**
     * Records an attempt started during slow start and compares all attempts within the last overload period, by all
     * routers together, to what the server can bear: the overload multiple times its present capacity.
     *
     * @return the violation, or null if there is none
     */
    String attemptInSlowStart(int routers) {
        RouterSettings.Rules rules = cluster.settings.rules;
        long now = cluster.time.now();
        attemptTimesInSlowStart.add(now);
        long from = Math.max(started, now - rules.overloadMicros());
        long sent = attemptTimesInSlowStart.stream().filter(at -> at > from).count();
        double work = cluster.settings.work;
        double bearable = rules.overloadMultiple() * capacityRatio() * cores * speed * (now - from) / work;
        double bearableInFullPeriod =
                rules.overloadMultiple() * capacityRatio() * cores * speed * rules.overloadMicros() / work;
        // The allowance for chance, as in the platform's rules: 3 attempts for each router, three standard deviations
        // and a third of what the server can bear in a full period.
        double allowance = 3 * routers + 3 * Math.sqrt(bearableInFullPeriod) + bearableInFullPeriod / 3;
        return sent <= Math.max(bearable, 1) + allowance
                ? null
                : sent + " attempts at " + id + " in " + (now - from) / MILLI + " ms, it can bear " + (int) bearable;
    }

    /** An attempt has arrived over the network: it is rejected, or queued for a core. */
    void receive(SimulatedAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        if (!up || incarnation != attempt.incarnation) {
            cluster.end(attempt, AttemptOutcome.NOT_CONNECTED);
            return;
        }
        RequestClass.Access access = attempt.request.requestClass.access();
        boolean behind = cluster.settings.replication.check() != RouterSettings.FreshnessCheck.SILENT
                && access != RequestClass.Access.ANY
                && position() < attempt.request.requiredPosition(attempt.sent);
        if (access == RequestClass.Access.WRITE ? !isPrimary() : behind && !isPrimary()) {
            cluster.end(attempt, AttemptOutcome.MISDIRECTED);
        } else if (queue.size() > 40 * cores) {
            cluster.end(attempt, AttemptOutcome.REJECTED);
        } else {
            queue.add(attempt);
            startQueuedAttempts();
        }
    }

    private void startQueuedAttempts() {
        while (up && busyCores < cores && !queue.isEmpty()) {
            SimulatedAttempt attempt = queue.poll();
            int startedIncarnation = incarnation;
            busyCores++;
            // Half of the mean work is fixed and half is exponentially distributed.
            double workRatio = -Math.log(1 - cluster.random.nextDouble()) * 0.5 + 0.5;
            cluster.time.in((long) (cluster.settings.work * workRatio / speed / capacityRatio()), () -> {
                if (incarnation == startedIncarnation) {
                    attemptCompleted(attempt);
                }
            });
        }
    }

    private void attemptCompleted(SimulatedAttempt attempt) {
        busyCores--;
        // One answer in a hundred is lost, as in the worst days of known deployments, and one is an error.
        int draw = cluster.random.nextInt(100);
        if (draw > 0) {
            cluster.end(attempt, draw == 1 ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
        }
        startQueuedAttempts();
    }

    /** The process dies: queued attempts end with a broken connection, running ones are never answered. */
    void crash() {
        up = false;
        incarnation++;
        busyCores = 0;
        List<SimulatedAttempt> queued = new ArrayList<>(queue);
        queue.clear();
        queued.forEach(attempt -> cluster.end(attempt, AttemptOutcome.BROKEN));
    }

    /** A new process starts. */
    void restart() {
        up = true;
        started = cluster.time.now();
        lag = 200 * MILLI;
        attemptTimesInSlowStart.clear();
    }
}
