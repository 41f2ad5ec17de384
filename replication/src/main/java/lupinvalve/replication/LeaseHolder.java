package lupinvalve.replication;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.Lease;
import lupinvalve.audit.LeaseManager;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;

/**
 * What this member acts on and for how long it may: its lease, its entries, and, while it leads, the leases of all. On
 * the group's thread but for {@link #holds}.
 */
final class LeaseHolder {
    private static final long CONFIRM = 100_000, ANSWER = 1_000_000, DELIVER = 200_000, UNTOLD = -1;

    /** What it needs of the member that it belongs to. */
    interface Member {
        RaftReplica replica();

        MemberId leader();

        /** Runs work, on the group's thread, once the pooler acts on all that it was told so far. */
        void reached(Runnable then);

        /** Why the pooler can't act on what holds, or empty. */
        String objection();

        void call(
                MemberId whom,
                String what,
                List<byte[]> arguments,
                long withinMicros,
                java.util.function.Consumer<WireMessages.Response> then);

        void propose(Command change, java.util.function.Consumer<Boolean> accepted);

        /** The last change that matters to poolers, as applied here. */
        long changed();

        /** Up to which change those act that follow this member by a lease of its own. */
        long followersFloor();

        /**
         * This member may act until then; when that was granted, the leader had applied a change that matters to
         * poolers.
         */
        void right(long untilMicros, long leadersChanged);
    }

    private final Member member;
    private final String name;
    private final boolean fences;
    private final AuditLog book;
    private final Lease lease;
    private LeaseManager leases;
    private long acting, asked, confirmAsked, confirmed, delivered;
    private boolean confirming, delivering, fenced;
    private MemberId waiting;
    private String version = "", shutOut = "";

    LeaseHolder(Member member, String name, boolean fences, Disk disk, long lifeMicros) throws IOException {
        this.member = member;
        this.name = name;
        this.fences = fences;
        book = new AuditLog(disk, name, lifeMicros);
        lease = new Lease(clock());
        fenced = fences;
        book.note(AuditEntry.Event.STARTED, "", 0, lifeMicros, "");
        if (fences) {
            book.note(AuditEntry.Event.FENCED, "", 0, lifeMicros, "no lease yet");
        }
    }

    /** A clock that never jumps, in microseconds; leases are counted by it alone. */
    static long clock() {
        return System.nanoTime() / 1000;
    }

    /** Whether the pooler may act now; from any thread. */
    boolean holds() {
        return !fences || lease.isValid(clock());
    }

    // ---- entries ----
    /** A version is about to be acted on: noted and forced first. False where the disk failed: then it must not be. */
    boolean adopts(String next, long index, long nowMicros) {
        look(nowMicros);
        return note(AuditEntry.Event.ADOPTED, next, index, nowMicros, "");
    }

    /** The pooler acts on nothing but this version from now on. */
    void acts(String next, long index, long nowMicros) {
        look(nowMicros);
        version = next;
        note(AuditEntry.Event.CEASED_OTHERS, next, index, nowMicros, "");
    }

    void refuses(String next, long index, long nowMicros, String why) {
        note(AuditEntry.Event.REFUSED, next, index, nowMicros, why);
    }

    void inTouch(boolean now, long nowMicros) {
        note(now ? AuditEntry.Event.BACK : AuditEntry.Event.CUT_OFF, version, acting, nowMicros, "");
    }

    void ends(long nowMicros) {
        note(AuditEntry.Event.ENDED, version, acting, nowMicros, "");
        book.close();
    }

    private boolean note(AuditEntry.Event what, String of, long index, long nowMicros, String why) {
        try {
            book.note(what, of, index, nowMicros, why);
            return true;
        } catch (IOException e) {
            Log.error("store: an audit entry can't be kept: %s", e.getMessage());
            return false;
        }
    }

    // ---- leases ----
    /** Called ten times a second. */
    void tick(boolean leads, long nowMicros) {
        long now = clock();
        RaftReplica replica = member.replica();
        if (!leads) {
            leases = null;
        }
        if (leads && !confirming && now - confirmAsked >= CONFIRM) {
            confirming = true;
            confirmAsked = now;
            replica.upToDate((fate, ok) -> {
                confirming = false;
                if (fate != RaftReplica.Completion.DONE) {
                    return;
                }
                confirmed = now;
                if (leases == null) {
                    // All that leaders before have called done is in the ledger by now.
                    leases = new LeaseManager(clock(), replica.ledger().appliedIndex());
                }
            });
        }
        if (replica != null) {
            long upTo = replica.ledger().appliedIndex();
            member.reached(() -> acting = Math.max(acting, upTo));
        }
        renew(leads, now);
        look(nowMicros);
        deliver(now);
    }

    /**
     * Notes that the lease has ended, at the time when it did, or that there is one again. Before anything else is
     * noted, as a process that stood still hears of many things at once when it wakes.
     */
    private void look(long nowMicros) {
        long now = clock();
        if (fences && fenced == lease.isValid(now)) {
            fenced = !fenced;
            note(
                    fenced ? AuditEntry.Event.FENCED : AuditEntry.Event.RETURNED,
                    version,
                    acting,
                    fenced ? nowMicros - (now - lease.untilMicros()) : nowMicros,
                    fenced ? shutOut : "");
        }
    }

    private void renew(boolean leads, long now) {
        MemberId leader = member.leader();
        if (leader == null
                || leader.equals(waiting)
                || now - asked
                        < (lease.untilMicros() - now > Lease.DURATION_MICROS / 2
                                ? Lease.RENEW_INTERVAL_MICROS
                                : CONFIRM)) {
            return;
        }
        asked = now;
        if (leads) {
            granted(grant(name, acting, member.objection(), member.followersFloor()), now, member.changed());
            return;
        }
        waiting = leader;
        member.call(
                leader,
                "lease",
                List.of(
                        bytes(name),
                        bytes(Long.toString(acting)),
                        bytes(member.objection()),
                        bytes(Long.toString(member.followersFloor()))),
                ANSWER,
                answer -> {
                    // One who leads no more may answer late; what it granted still counts from when it was asked.
                    waiting = leader.equals(waiting) ? null : waiting;
                    if (answer.status() == WireMessages.Status.OK) {
                        granted(
                                new LeaseManager.Renewal(Long.parseLong(answer.text()), ""),
                                now,
                                leadersChanged(answer));
                    } else if (answer.status() == WireMessages.Status.REJECTED) {
                        granted(new LeaseManager.Renewal(0, answer.text()), now, UNTOLD);
                    }
                });
    }

    /** A leader of an earlier version does not tell: then nothing can be granted to subscribers. */
    private static long leadersChanged(WireMessages.Response answer) {
        try {
            return answer.content().length == 0 ? UNTOLD : new Cbor.Reader(answer.content()).number();
        } catch (IOException e) {
            return UNTOLD;
        }
    }

    private void granted(LeaseManager.Renewal granted, long askedAt, long leadersChanged) {
        if (granted.durationMicros() > 0) {
            lease.onGranted(askedAt, granted.durationMicros());
            if (leadersChanged != UNTOLD) {
                member.right(Lease.endMicros(askedAt, granted.durationMicros()), leadersChanged);
            }
            shutOut = "";
        } else if (!granted.reason().isEmpty()) {
            shutOut = granted.reason();
        }
    }

    /**
     * The leader's answer to a request for a lease. Nothing is granted past what it could be sure of when a majority
     * last confirmed that it leads: a later leader counts its own wait from its election, which came after that.
     */
    LeaseManager.Renewal grant(String pooler, long actsOn, String objection, long followersFloor) {
        long now = clock();
        long left = leases == null ? 0 : confirmed + Lease.DURATION_MICROS - now;
        if (left <= 0) {
            return new LeaseManager.Renewal(0, "");
        }
        LeaseManager.Renewal granted = leases.renew(pooler, actsOn, objection, followersFloor, now);
        return granted.durationMicros() == 0
                ? granted
                : new LeaseManager.Renewal(Math.min(left, granted.durationMicros()), "");
    }

    /** The leader's: a strict change has been accepted. */
    void strict(long index) {
        if (leases != null) {
            leases.requireIndex(index, clock());
        }
    }

    /**
     * The leader's: who must be waited for before a change is done; null where it leads no more. A lease counts as
     * ended only where it had when a majority last confirmed that this member leads: one that has stood still does not
     * know what others have granted since.
     */
    List<String> waitedFor(long index, List<String> poolers) {
        return leases == null ? null : leases.pendingPoolers(index, poolers, confirmed);
    }

    /** The leader's: who may not act, with reasons. */
    java.util.Map<String, String> stragglers(List<String> poolers) {
        return leases == null ? java.util.Map.of() : leases.excludedPoolers(poolers, clock());
    }

    // ---- delivery ----
    private void deliver(long now) {
        Command.AppendAudit due =
                delivering || member.leader() == null || now - delivered < DELIVER ? null : book.due();
        if (due == null) {
            return;
        }
        delivering = true;
        delivered = now;
        member.propose(due, accepted -> {
            delivering = false;
            if (accepted) {
                book.delivered(due);
            }
        });
    }

    /** What is told of it in the status: how long the lease has left, and what was said where it was not granted. */
    long leaseMicros() {
        return Math.max(0, lease.untilMicros() - clock());
    }

    String shutOut() {
        return shutOut;
    }

    long acting() {
        return acting;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** How a document is named as a version. */
    static String version(ReplicatedState.Document document) {
        return document.revision() + "-" + document.digest();
    }
}
