package lupinvalve.routing;

import static lupinvalve.routing.VirtualTime.MILLI;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A server: cores with a queue before them, a capacity that grows after a start, a log position and a role. */
final class SimulatedServer {
    final String id;
    final int group;
    final int zone;
    private final SimulatedCluster cluster;
    private final int cores;
    private final double speed;
    private final ArrayDeque<SimulatedAttempt> queue = new ArrayDeque<>();
    private final List<Long> attemptsInSlowStart = new ArrayList<>();
    private int busyCores;
    private int incarnation;
    private boolean up = true;
    private long started;
    private long position;
    private long lag;
    boolean listedPrimary;
    EndpointState listed = EndpointState.LIVE;
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

    /** Requests that it serves in a second when warm. */
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

    /** Up to when it has applied all commits: that never goes back. */
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

    /** What it can do now, as a part of what it can do warm. */
    private double capacityRatio() {
        RouterSettings.Rules rules = cluster.settings.rules;
        double age = (double) (cluster.time.now() - started) / rules.warmUpMicros();
        double grown = rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * age;
        return started == 0 ? 1 : Math.min(1, grown);
    }

    /** Notes an attempt in slow start. Returns what is wrong if all routers together start too many, else null. */
    String attemptInSlowStart(int routers) {
        RouterSettings.Rules rules = cluster.settings.rules;
        long now = cluster.time.now();
        attemptsInSlowStart.add(now);
        long from = Math.max(started, now - rules.overloadMicros());
        long sent = attemptsInSlowStart.stream().filter(at -> at > from).count();
        double work = cluster.settings.work;
        double most = rules.overloadMultiple() * capacityRatio() * cores * speed * (now - from) / work;
        double whole = rules.overloadMultiple() * capacityRatio() * cores * speed * rules.overloadMicros() / work;
        // Chance is allowed for as the users' pages do.
        double slack = 3 * routers + 3 * Math.sqrt(whole) + whole / 3;
        return sent <= Math.max(most, 1) + slack
                ? null
                : sent + " sent to " + id + " in " + (now - from) / MILLI + " ms, it bears " + (int) most;
    }

    /** An attempt has come over the network. */
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
            cluster.end(attempt, AttemptOutcome.MISSED);
        } else if (queue.size() > 40 * cores) {
            cluster.end(attempt, AttemptOutcome.REJECTED);
        } else {
            queue.add(attempt);
            work();
        }
    }

    private void work() {
        while (up && busyCores < cores && !queue.isEmpty()) {
            SimulatedAttempt attempt = queue.poll();
            int ofIncarnation = incarnation;
            busyCores++;
            double part = -Math.log(1 - cluster.random.nextDouble()) * 0.5 + 0.5;
            cluster.time.in((long) (cluster.settings.work * part / speed / capacityRatio()), () -> {
                if (incarnation == ofIncarnation) {
                    worked(attempt);
                }
            });
        }
    }

    private void worked(SimulatedAttempt attempt) {
        busyCores--;
        // One in a hundred answers gets lost, as on the users' worst days, and one is an error.
        int draw = cluster.random.nextInt(100);
        if (draw > 0) {
            cluster.end(attempt, draw == 1 ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
        }
        work();
    }

    /** The process dies: what is queued breaks, and what runs is never answered. */
    void crash() {
        up = false;
        incarnation++;
        busyCores = 0;
        List<SimulatedAttempt> lost = new ArrayList<>(queue);
        queue.clear();
        lost.forEach(attempt -> cluster.end(attempt, AttemptOutcome.BROKEN));
    }

    /** A new process starts. */
    void restart() {
        up = true;
        started = cluster.time.now();
        lag = 200 * MILLI;
        attemptsInSlowStart.clear();
    }
}
