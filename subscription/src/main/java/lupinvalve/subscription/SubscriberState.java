package lupinvalve.subscription;

import java.io.IOException;
import java.util.Map;
import java.util.function.Function;
import lupinvalve.audit.Lease;
import lupinvalve.statemachine.ActiveConfiguration;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * A subscriber's state: what it has received, what its pooler has applied, its lease, and the content of its next
 * request. It never returns to a state older than one it has applied, whichever member responds.
 *
 * <p>Times are of one monotonic clock, in microseconds. Confined to one thread, except {@link #hasLease} and
 * {@link #leaseUntilMicros}, which are thread-safe.
 */
public final class SubscriberState {
    /**
     * State that a subscriber caches on its disk for a restart.
     *
     * @param document the last applied one, or null
     * @param drains the operators' drains
     * @param index the log index up to which both are complete, 0 for none
     */
    public record Cached(
            ReplicatedState.Document document, Map<Command.DrainTarget, ReplicatedState.Drain> drains, long index) {
        /** The state before the first response. */
        public static final Cached EMPTY = new Cached(null, Map.of(), 0);
    }

    /**
     * The changes that the pooler must make after a response.
     *
     * @param document to apply, or null
     * @param drains the operators' drains as they are now, or null if they have not changed
     * @param corruption why the event could not be applied, or empty; if not, the next request is for the full document
     */
    public record Update(
            ReplicatedState.Document document,
            Map<Command.DrainTarget, ReplicatedState.Drain> drains,
            String corruption) {
        private static final Update NONE = new Update(null, null, "");

        /** Whether there is a change that must be cached for a restart. */
        public boolean changesState() {
            return document != null || drains != null;
        }
    }

    private final boolean wantsLease;
    private final Lease lease;
    private final ActiveConfiguration configuration;
    private ReplicatedState.Document document;
    private Map<Command.DrainTarget, ReplicatedState.Drain> drains;
    private String drainsDigest;
    private String leaseDenial = "";
    private long appliedIndex;
    private long receivedIndex;
    private boolean needsFullDocument;

    /**
     * Starts from what an earlier run cached.
     *
     * @param wantsLease whether to request a lease
     */
    public SubscriberState(boolean wantsLease, Cached cached, long nowMicros) {
        this.wantsLease = wantsLease;
        lease = new Lease(nowMicros);
        configuration = new ActiveConfiguration(nowMicros);
        document = cached.document();
        drains = cached.drains();
        drainsDigest = cached.index() == 0 ? "" : WatchResponse.digest(drains);
        appliedIndex = cached.index();
        receivedIndex = appliedIndex;
    }

    /**
     * The cached document if it can be applied, otherwise null.
     *
     * @param validator returns why this version can't apply a document, or null if it can
     */
    public ReplicatedState.Document restoreCached(Function<byte[], String> validator) {
        return document == null ? null : applicableDocument(validator);
    }

    /** The next request. */
    public WatchRequest request() {
        return new WatchRequest(
                WatchRequest.VERSION,
                appliedIndex,
                document == null ? 0 : document.revision(),
                document == null ? "" : document.digest(),
                drainsDigest,
                wantsLease,
                needsFullDocument,
                configuration.unreadableReason());
    }

    /**
     * Handles a member's response.
     *
     * @param requestedMicros a time before the request was sent
     * @param validator returns why this version can't apply a document, or null if it can
     */
    public Update onResponse(
            WatchResponse response, long requestedMicros, long nowMicros, Function<byte[], String> validator) {
        renewLease(response, requestedMicros, nowMicros);
        boolean stale = response.completeIndex() != WatchResponse.INCOMPLETE && response.completeIndex() < appliedIndex;
        if (stale) {
            return Update.NONE;
        }
        Map<Command.DrainTarget, ReplicatedState.Drain> newDrains = response.drains();
        if (newDrains != null) {
            drains = newDrains;
            drainsDigest = WatchResponse.digest(drains);
        }
        ReplicatedState.Document newDocument = null;
        if (!(response.event() instanceof WatchResponse.Event.Unchanged)) {
            try {
                document = documentAfter(response.event());
                needsFullDocument = false;
            } catch (IOException e) {
                needsFullDocument = true;
                return new Update(null, newDrains, e.getMessage());
            }
            newDocument = applicableDocument(validator);
        }
        if (response.completeIndex() != WatchResponse.INCOMPLETE
                && configuration.unreadableReason().isEmpty()) {
            receivedIndex = response.completeIndex();
        }
        return new Update(newDocument, newDrains, "");
    }

    private void renewLease(WatchResponse response, long requestedMicros, long nowMicros) {
        if (response.leaseMicros() <= 0) {
            leaseDenial = response.leaseDenial();
            return;
        }
        leaseDenial = "";
        // The member received the request after requestedMicros and granted the lease queuedMicros later by its clock.
        long queuedMicros = (long) (Math.max(0, response.queuedMicros()) * (1 - Lease.MAX_CLOCK_DRIFT_RATIO));
        lease.onGranted(
                Math.min(nowMicros, requestedMicros + queuedMicros),
                Math.min(Lease.DURATION_MICROS, response.leaseMicros()));
    }

    private ReplicatedState.Document documentAfter(WatchResponse.Event event) throws IOException {
        ReplicatedState.Document next;
        if (event instanceof WatchResponse.Event.FullDocument fullDocument) {
            next = fullDocument.document();
        } else {
            WatchResponse.Event.Deltas update = (WatchResponse.Event.Deltas) event;
            byte[] content = document == null ? new byte[0] : document.content();
            for (DocumentDelta delta : update.deltas()) {
                content = delta.apply(content);
            }
            next = new ReplicatedState.Document(update.revision(), update.index(), update.digest(), content);
        }
        if (!ReplicatedState.digest(next.content()).equals(next.digest())) {
            throw new IOException(
                    "revision " + next.revision() + ": the document does not match the digest " + next.digest());
        }
        return next;
    }

    private ReplicatedState.Document applicableDocument(Function<byte[], String> validator) {
        ActiveConfiguration.Verdict verdict = configuration.onCommitted(document, validator.apply(document.content()));
        return verdict == ActiveConfiguration.Verdict.ACTIVATE ? document : null;
    }

    /** The log index up to which all changes were received. */
    public long receivedIndex() {
        return receivedIndex;
    }

    /** Records that the pooler has applied the log up to an index. */
    public void onApplied(long index) {
        appliedIndex = Math.max(appliedIndex, index);
    }

    /** The log index up to which the pooler has applied all changes. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** The state to cache for a restart. */
    public Cached toCache() {
        return new Cached(
                configuration.active(),
                drains,
                configuration.unreadableReason().isEmpty() ? receivedIndex : appliedIndex);
    }

    /** Whether there is a valid lease; thread-safe. */
    public boolean hasLease(long nowMicros) {
        return lease.isValid(nowMicros);
    }

    /** When the lease ends or has ended; thread-safe. */
    public long leaseUntilMicros() {
        return lease.untilMicros();
    }

    /** Why the last response granted no lease, or empty. */
    public String leaseDenial() {
        return leaseDenial;
    }

    /** The operators' drains as last received. */
    public Map<Command.DrainTarget, ReplicatedState.Drain> drains() {
        return drains;
    }

    /** Which document is applied, and why a newer one is not. */
    public ActiveConfiguration configuration() {
        return configuration;
    }
}
