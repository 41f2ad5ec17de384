package lupinvalve.routing;

import lupinvalve.routing.State.*;

/** Which db nodes are used at all: ejections, trials and probes, and what each ending tells of one. */
final class Health {
    /** A replica of which nothing was heard for this long is probed, as far as the probe budget goes. */
    static final long NEWS_PACE = 500_000;

    private static final double PROBES_PER_REQUEST = 0.4, PROBES_SPARSE = 0.03;
    private static final long EJECT_FIRST = 200_000, FULL_PAUSE = 40_000, RESTART_LEAST = 1_000_000;
    private static final int EJECT_DOUBLINGS = 4, PROBES_PER_TRIAL = 2;
    private static final double ERROR_SHARE = 0.25, ERROR_WEIGHT = 0.5;
    private final Scene s;
    private final Limits limits;
    private final Idle idle;
    double probeBudget = 4;

    Health(Scene scene, Limits limits, Idle idle) {
        s = scene;
        this.limits = limits;
        this.idle = idle;
    }

    private static long backOff(int times) {
        return EJECT_FIRST << Math.min(times, EJECT_DOUBLINGS);
    }

    /** The first strike proves little where single connections break: a trial is due at once, no pause. */
    void strike(Node n) {
        if (s.now >= n.ejectedUntil) {
            n.ejectedUntil = s.now + (n.strikes == 0 ? 0 : backOff(n.strikes - 1));
            n.strikes++;
            n.onTrial = false;
            tick(n);
        }
    }

    /**
     * Guards members that went on refusing connections for a while: they may have restarted, so are taken for cold.
     * Those that serve sooner had their tables full: idle connections are closed earlier. How long nothing was asked of
     * them tells nothing: who lost one connection is not cold for that.
     */
    void answered(Node n) {
        n.answeredAt = s.now;
        n.ejectedUntil = s.now;
        n.silent = 0;
        n.broken = 0;
        n.probeFails = Math.min(n.probeFails, PROBES_PER_TRIAL);
        if (n.brokenSince != Long.MIN_VALUE) {
            if (n.brokenLast - n.brokenSince > RESTART_LEAST) {
                limits.chill(n, s.now);
            } else {
                idle.cut();
            }
        }
        n.brokenSince = Long.MIN_VALUE;
    }

    /** Silent with work out for longer than that work should take. */
    boolean overdue(Node n) {
        Attempt oldest = n.out.isEmpty() ? null : n.out.iterator().next();
        return oldest != null
                && s.now > oldest.overdueAt()
                && s.now - n.answeredAt > oldest.overdueAt() - oldest.sentAt();
    }

    boolean healthy(Node n) {
        return !overdue(n) && s.now >= n.ejectedUntil && (n.strikes == 0 || n.onTrial && n.out.isEmpty());
    }

    /** A member that answers with errors is tried by one read at a time; writes have nowhere else to go. */
    boolean shunned(Node n) {
        return n.shuns > 0 && (s.now < n.shunnedUntil || !n.out.isEmpty());
    }

    /** A trial is due for one ejected; others are probed where nothing was heard, if the budget allows. */
    void tick(Node n) {
        if (n.health != EndpointState.LIVE) {
            return;
        }
        if (n.strikes > 0 && !n.onTrial && s.now >= n.ejectedUntil) {
            n.onTrial = !s.settings.limits().probe() || n.probeFails >= PROBES_PER_TRIAL;
            if (!n.onTrial) {
                probe(n);
            }
        } else if (probeBudget >= 10
                && s.now - n.probedAt > NEWS_PACE
                && s.now - n.group.askedAt < NEWS_PACE
                && n.noNews(s.now, NEWS_PACE)) {
            probeBudget--;
            probe(n);
        }
    }

    void earnProbes(boolean few) {
        probeBudget = Math.min(20, probeBudget + (few ? PROBES_SPARSE : PROBES_PER_REQUEST));
    }

    /**
     * Probes may fail while a member serves: a failed one ejects nobody, but makes the next one rarer and, for a member
     * that service has ejected, the trial later.
     */
    void probed(Node n, AttemptOutcome ending) {
        n.probing = false;
        if (ending == AttemptOutcome.SERVED) {
            n.probeFails = 0;
            n.onTrial = true;
            return;
        }
        n.probeFails++;
        n.brokenLast = ending == AttemptOutcome.NOT_CONNECTED ? s.now : n.brokenLast;
        if (n.strikes > 0 && !n.onTrial) {
            strike(n);
        }
    }

    void probe(Node n) {
        long pause = n.probeFails == 0 ? 0 : backOff(n.probeFails);
        boolean due = !n.probing && s.now >= n.probedAt + pause;
        if (s.settings.limits().probe() && due && n.health != EndpointState.DEPARTED) {
            n.probing = true;
            n.probedAt = s.now;
            s.act.accept(new RouterAction.CheckHealth(n.id));
        }
    }

    void judge(Node n, Pending r, Attempt a, RouterEvent.AttemptEnded o) {
        switch (o.outcome()) {
            case SERVED -> {
                answered(n);
                n.errors *= 1 - ERROR_WEIGHT;
                n.strikes = 0;
                // Guards against members that fail most: one served request doesn't bring all reads back.
                n.shuns = n.errors > ERROR_SHARE ? n.shuns : 0;
                // Guards against members that fail requests, not requests that fail anywhere: an error counts
                // against a member once another has served the same request.
                for (Node erred : r.erredAt) {
                    if (erred != n) {
                        erred.errors += ERROR_WEIGHT * (1 - erred.errors);
                        erred.shunnedUntil = s.now + backOff(erred.shuns++);
                    }
                }
                limits.adapt(n, r, o.elapsedMicros());
            }
            case MISSED -> answered(n);
            case REJECTED -> {
                // Guards against storms of repeats at a full member.
                answered(n);
                n.fullUntil = s.now + FULL_PAUSE;
                limits.turnedBack(n);
            }
            case ERROR -> {
                answered(n);
                r.errors++;
                r.erredAt.add(n);
            }
            case TIMED_OUT -> timedOut(n, r, a, o);
            case NOT_CONNECTED, BROKEN -> {
                // Guards members that live: one connection that breaks, or one spoilt answer, is no sign of a
                // death. That breaks all connections at once and refuses new ones.
                if (o.outcome() == AttemptOutcome.BROKEN && n.broken++ == 0) {
                    break;
                }
                n.connected = false;
                n.brokenSince = n.brokenSince == Long.MIN_VALUE ? s.now : n.brokenSince;
                n.brokenLast = s.now;
                n.probeFails = 0;
                strike(n);
            }
            default -> {}
        }
    }

    private void timedOut(Node n, Pending r, Attempt a, RouterEvent.AttemptEnded o) {
        // Guards against silent members. One lost attempt proves little, least of all when the
        // client's own time cut it short: the first only asks for a probe.
        boolean silent = n.answeredAt < a.sentAt() && s.now >= a.overdueAt();
        if (silent && idle.suspects(a)) {
            // The connection may be what was lost: the next attempt on a new one will tell.
            idle.lost(n, a);
        } else if (silent) {
            if (n.silent++ > 0) {
                n.probeFails = 0;
                strike(n);
            }
            probe(n);
        } else {
            // One that stayed out while others were answered may be lost: it tells little of load.
            double told = (double) o.elapsedMicros() / r.kind.latencyObjectiveMicros();
            limits.load.press(n, Math.min(told, 2 * limits.load.pressure(n)));
            limits.bound(n);
        }
    }
}
