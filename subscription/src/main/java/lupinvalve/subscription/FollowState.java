package lupinvalve.subscription;

import java.io.IOException;
import java.util.Map;
import java.util.function.Function;
import lupinvalve.audit.Lease;
import lupinvalve.statemachine.Adoption;
import lupinvalve.statemachine.Change;
import lupinvalve.statemachine.Ledger;

/**
 * A subscriber's side: what it holds, what its pooler acts on, until when that may act, and what it asks next. It never
 * goes back behind what it has heard of, whichever member answers. Times are of one monotonic clock, in microseconds.
 */
public final class FollowState {
    /** What is kept for a restart: the document, or null, and the holds, and up to which change they were whole. */
    public record Kept(Ledger.Document document, Map<Change.Holding, Ledger.Held> holds, long index) {
        /** Nothing was accepted yet. */
        public static final Kept NOTHING = new Kept(null, Map.of(), 0);
    }

    /**
     * What is to be done after an answer.
     *
     * @param adopt a document to act on, or null
     * @param holds operators' holds as they now stand, or null where they have not changed
     * @param wrong what did not fit in the answer, or empty: the whole is asked for
     */
    public record Heard(Ledger.Document adopt, Map<Change.Holding, Ledger.Held> holds, String wrong) {}

    private final boolean wantsLease;
    private final Lease lease;
    private final Adoption adoption;
    private Ledger.Document document;
    private Map<Change.Holding, Ledger.Held> holds;
    private String holdsDigest, shutOut = "";
    private long acting, pending;
    private boolean whole;

    /** @param kept what an earlier run left; it is acted on from now */
    public FollowState(boolean wantsLease, Kept kept, long nowMicros) {
        this.wantsLease = wantsLease;
        lease = new Lease(nowMicros);
        adoption = new Adoption(nowMicros);
        document = kept.document();
        holds = kept.holds();
        holdsDigest = kept.index() == 0 ? "" : FollowAnswer.digest(holds);
        acting = kept.index();
        pending = acting;
    }

    /** Acts on what was kept as far as this version can; the same as for a document that was heard. */
    public Ledger.Document begin(Function<byte[], String> objections) {
        return document == null ? null : adopt(objections);
    }

    /** What to ask with. */
    public FollowRequest request() {
        return new FollowRequest(
                FollowRequest.VERSION,
                acting,
                document == null ? 0 : document.revision(),
                document == null ? "" : document.digest(),
                holdsDigest,
                wantsLease,
                whole,
                adoption.unreadable());
    }

    /**
     * A member has answered.
     *
     * @param askedMicros before the request was sent
     * @param objections says why this version can't act on a document, or null
     */
    public Heard heard(FollowAnswer answer, long askedMicros, long nowMicros, Function<byte[], String> objections) {
        granted(answer, askedMicros, nowMicros);
        if (answer.index() != 0 && answer.index() < acting) {
            // A member that is behind: what it tells is old.
            return new Heard(null, null, "");
        }
        Map<Change.Holding, Ledger.Held> nextHolds = answer.holds();
        if (nextHolds != null) {
            holds = nextHolds;
            holdsDigest = FollowAnswer.digest(holds);
        }
        Ledger.Document adopt = null;
        if (!(answer.news() instanceof FollowAnswer.News.None)) {
            try {
                document = told(answer.news());
                whole = false;
            } catch (IOException e) {
                whole = true;
                return new Heard(null, nextHolds, e.getMessage());
            }
            adopt = adopt(objections);
        }
        if (answer.index() != 0 && adoption.unreadable().isEmpty()) {
            pending = answer.index();
        }
        return new Heard(adopt, nextHolds, "");
    }

    private void granted(FollowAnswer answer, long askedMicros, long nowMicros) {
        if (answer.leaseMicros() <= 0) {
            shutOut = answer.why();
            return;
        }
        shutOut = "";
        // The member had the request at the earliest when it was sent, and granted this so much later by its clock.
        long held = (long) (Math.max(0, answer.heldMicros()) * (1 - Lease.DRIFT));
        lease.granted(Math.min(nowMicros, askedMicros + held), Math.min(Lease.LENGTH, answer.leaseMicros()));
    }

    private Ledger.Document told(FollowAnswer.News news) throws IOException {
        Ledger.Document next;
        if (news instanceof FollowAnswer.News.Whole all) {
            next = all.document();
        } else {
            FollowAnswer.News.Differences differences = (FollowAnswer.News.Differences) news;
            byte[] content = document == null ? new byte[0] : document.content();
            for (DocumentDelta step : differences.steps()) {
                content = step.apply(content);
            }
            next = new Ledger.Document(differences.revision(), differences.index(), differences.digest(), content);
        }
        if (!Ledger.digest(next.content()).equals(next.digest())) {
            throw new IOException("revision " + next.revision() + " comes to another digest than " + next.digest());
        }
        return next;
    }

    private Ledger.Document adopt(Function<byte[], String> objections) {
        return adoption.accepted(document, objections.apply(document.content())) == Adoption.Verdict.ADOPT
                ? document
                : null;
    }

    /** Up to which change all was heard so far. */
    public long heardUpTo() {
        return pending;
    }

    /** The pooler acts on all up to a change, and on nothing older. */
    public void acted(long upTo) {
        acting = Math.max(acting, upTo);
    }

    /** What is to be kept for a restart. */
    public Kept kept() {
        return new Kept(adoption.running(), holds, adoption.unreadable().isEmpty() ? pending : acting);
    }

    /** Whether the pooler may act, where it needs a lease for that; from any thread. */
    public boolean holds(long nowMicros) {
        return lease.holds(nowMicros);
    }

    /** When the right to act ends, or has ended. */
    public long until() {
        return lease.until();
    }

    /** Why the last lease was not granted, or empty. */
    public String shutOut() {
        return shutOut;
    }

    /** Up to which change the pooler acts. */
    public long acting() {
        return acting;
    }

    /** Operators' holds as they were heard of last. */
    public Map<Change.Holding, Ledger.Held> holds() {
        return holds;
    }

    /** What is acted on, in words and by revision. */
    public Adoption adoption() {
        return adoption;
    }
}
