package lupinvalve.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's side of leases: who may still act, and on what. Decides when a strict change is done: once each pooler
 * acts on it or its lease has ended. A pooler that stays behind one is not granted another, and so is shut out, with
 * its reason; a minority at most, as a majority has accepted the change. No I/O; the leader's own monotonic clock, in
 * microseconds.
 */
public final class LeaseManager {
    /** How long a pooler may take to act on a strict change before it gets no further lease. */
    public static final long CATCH_UP_MICROS = 500_000;
    /**
     * A pooler that was shut out is let in again only after it has been well for so long; the longer the more often.
     */
    private static final long READMISSION_MICROS = 300_000, MAX_READMISSION_MICROS = 5_000_000;

    private static final class Held {
        long until, acting, followers, wellSince = Long.MIN_VALUE;
        String objection = "", shutOut = "";
        int times;
    }

    /** What a renewal was answered: for how long, 0 where it was not granted, and then why. */
    public record Renewal(long durationMicros, String reason) {}

    private final TreeMap<String, Held> held = new TreeMap<>();
    private final long electedUntil;
    private long requiredIndex, strictSince;

    /**
     * From when this member leads on.
     *
     * @param nowMicros the leader before may have granted leases until now, which nobody here knows of
     * @param accepted the last change that may have been called done by a leader before: nobody is let act on less
     */
    public LeaseManager(long nowMicros, long accepted) {
        electedUntil = nowMicros + past(Lease.DURATION_MICROS);
        requiredIndex = accepted;
        strictSince = Long.MIN_VALUE / 2;
    }

    private static long past(long lengthMicros) {
        return (long) (lengthMicros * (1 + Lease.MAX_CLOCK_DRIFT_RATIO)) + 1;
    }

    /** A strict change was accepted: whoever acts on less is not granted any more once it had time to catch up. */
    public void requireIndex(long index, long nowMicros) {
        if (index > requiredIndex) {
            requiredIndex = index;
            strictSince = nowMicros;
        }
    }

    /**
     * A pooler asks for a lease.
     *
     * @param acting up to which change it acts on the agreed history
     * @param objection why it can't act on more, or empty
     */
    public Renewal renew(String pooler, long acting, String objection, long nowMicros) {
        return renew(pooler, acting, objection, Long.MAX_VALUE, nowMicros);
    }

    /**
     * The same for a pooler that others follow.
     *
     * @param followers up to which change those act that hold a lease of its own; they are waited for, and don't shut
     *     it out
     */
    public Renewal renew(String pooler, long acting, String objection, long followers, long nowMicros) {
        Held one = held.computeIfAbsent(pooler, p -> new Held());
        one.acting = acting;
        one.followers = followers;
        one.objection = objection;
        // One that holds none may have been passed over already when the change was called done.
        boolean behind = acting < requiredIndex
                && (nowMicros - strictSince > CATCH_UP_MICROS || !objection.isEmpty() || nowMicros >= one.until);
        if (behind) {
            // One that has just started has had no lease of late: it comes up to date, and is no case for watching.
            if (one.shutOut.isEmpty() && one.until > nowMicros - Lease.DURATION_MICROS) {
                one.times++;
            }
            one.shutOut =
                    objection.isEmpty() ? "acts on change " + acting + ", " + requiredIndex + " is wanted" : objection;
            one.wellSince = Long.MIN_VALUE;
            return new Renewal(0, one.shutOut);
        }
        if (!one.shutOut.isEmpty()) {
            // Guards against one that is well for a moment again and again.
            one.wellSince = one.wellSince == Long.MIN_VALUE ? nowMicros : one.wellSince;
            if (one.times > 0
                    && nowMicros - one.wellSince
                            < Math.min(MAX_READMISSION_MICROS, READMISSION_MICROS << Math.min(one.times, 10))) {
                return new Renewal(0, "was shut out (" + one.shutOut + ") and is watched for a while");
            }
            one.shutOut = "";
        }
        one.until = Math.max(one.until, nowMicros + past(Lease.DURATION_MICROS));
        return new Renewal(Lease.DURATION_MICROS, "");
    }

    /** Who must still be waited for before a change can be called done: those that may act on less. */
    public List<String> pendingPoolers(long index, Collection<String> poolers, long nowMicros) {
        List<String> left = new ArrayList<>();
        for (String pooler : poolers) {
            Held one = held.get(pooler);
            // It may hold a lease of the leader before, whatever it was granted here.
            boolean may = nowMicros < Math.max(electedUntil, one == null ? 0 : one.until);
            if (may && (one == null || Math.min(one.acting, one.followers) < index)) {
                left.add(pooler);
            }
        }
        return left;
    }

    /** Those that may not act now, each with the reason. */
    public Map<String, String> excludedPoolers(Collection<String> poolers, long nowMicros) {
        Map<String, String> out = new TreeMap<>();
        for (String pooler : poolers) {
            Held one = held.get(pooler);
            if (one != null && !one.shutOut.isEmpty()) {
                out.put(pooler, one.shutOut);
            } else if (nowMicros >= Math.max(electedUntil, one == null ? 0 : one.until)) {
                out.put(pooler, "not heard of, its lease has ended");
            }
        }
        return out;
    }
}
