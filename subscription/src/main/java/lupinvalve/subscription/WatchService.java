package lupinvalve.subscription;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Decides how a member responds to its subscribers: watch events, leases, and Retry-After. Times are of the member's
 * monotonic clock, in microseconds. Confined to one thread.
 */
public final class WatchService {
    /** Maximum time that a request waits for an event. Two long polls, one of them lost, must fit into a lease. */
    public static final long LONG_POLL_MICROS = 500_000;

    /** Why this member never grants leases, or empty if it does. */
    private final String leasesDisabledReason;

    private final RevisionHistory history = new RevisionHistory();
    private final SubscriberLeases leases;
    private final FullDocumentLimiter fullDocuments = new FullDocumentLimiter();
    private Map<Command.DrainTarget, ReplicatedState.Drain> drains = Map.of();
    private String drainsDigest = WatchResponse.digest(Map.of());
    private long appliedIndex;

    /**
     * Creates a service that has applied no change yet.
     *
     * @param leasesDisabledReason why this member grants no leases, or empty if it does
     */
    public WatchService(String leasesDisabledReason, long nowMicros) {
        leases = new SubscriberLeases(nowMicros);
        this.leasesDisabledReason = leasesDisabledReason;
    }

    private boolean grantsLeases() {
        return leasesDisabledReason.isEmpty();
    }

    /**
     * Handles that this member has applied a change of the document or the drains. A state older than before, as after
     * a disk fault, is ignored.
     *
     * @param document the current document, or null
     * @param index log index of the last change of the document or the drains
     */
    public void onApplied(
            ReplicatedState.Document document,
            Map<Command.DrainTarget, ReplicatedState.Drain> currentDrains,
            long index,
            long nowMicros) {
        leases.onChange(index, nowMicros);
        if (index < appliedIndex) {
            return;
        }
        appliedIndex = index;
        history.onAccepted(document);
        if (!currentDrains.equals(drains)) {
            drains = new TreeMap<>(currentDrains);
            drainsDigest = WatchResponse.digest(drains);
        }
    }

    /** Advances the log index that this member has applied; changes for subscribers go through {@link #onApplied}. */
    public void advanceAppliedIndex(long index) {
        appliedIndex = Math.max(appliedIndex, index);
    }

    /** Handles that the member's own lease was granted, see {@link SubscriberLeases#onOwnLease}. */
    public void onOwnLease(long untilMicros, long leaderIndex, long nowMicros) {
        leases.onOwnLease(untilMicros, leaderIndex, nowMicros);
    }

    /** Whether this member grants leases but has no valid lease itself; its subscribers should then fail over. */
    public boolean lacksOwnLease(long nowMicros) {
        return grantsLeases() && leases.ownLeaseLeftMicros(nowMicros) <= 0;
    }

    /** Whether a subscriber without a lease would be granted one now. */
    public boolean canAdmit(String subscriber, WatchRequest request, long nowMicros) {
        return grantsLeases() && request.wantsLease() && leases.canAdmit(subscriber, request.appliedIndex(), nowMicros);
    }

    /** Whether there is an update that a subscriber does not have yet. */
    public boolean hasUpdate(WatchRequest request) {
        return !isAhead(request) && (drainsDiffer(request) || documentDiffers(request));
    }

    /** Whether the subscriber has applied more than this member, which then has no update for it. */
    private boolean isAhead(WatchRequest request) {
        return request.appliedIndex() > appliedIndex;
    }

    private boolean drainsDiffer(WatchRequest request) {
        return !drainsDigest.equals(request.drainsDigest());
    }

    private boolean documentDiffers(WatchRequest request) {
        ReplicatedState.Document document = history.current();
        if (document == null) {
            return false;
        }
        boolean otherContent =
                request.revision() == document.revision() && !document.digest().equals(request.digest());
        return request.wantsFullDocument() || request.revision() < document.revision() || otherContent;
    }

    /** Handles the arrival of a subscriber's request. */
    public void onRequest(String subscriber) {
        fullDocuments.confirm(subscriber);
    }

    /**
     * Responds to a subscriber.
     *
     * @param queuedMicros time that the request has waited at this member
     */
    public WatchResponse respond(String subscriber, WatchRequest request, long queuedMicros, long nowMicros) {
        SubscriberLeases.Grant lease = renewLease(subscriber, request, nowMicros);
        WatchResponse.Event event = new WatchResponse.Event.Unchanged();
        long completeIndex = appliedIndex;
        int retryAfterMillis = 0;
        if (!isAhead(request) && documentDiffers(request)) {
            WatchResponse.Event update = documentUpdate(subscriber, request, nowMicros);
            if (update != null) {
                event = update;
            } else {
                completeIndex = WatchResponse.INCOMPLETE;
                retryAfterMillis = fullDocuments.retryAfterMillis(nowMicros);
            }
        }
        Map<Command.DrainTarget, ReplicatedState.Drain> changedDrains =
                isAhead(request) || !drainsDiffer(request) ? null : drains;
        return new WatchResponse(
                lease.durationMicros(),
                queuedMicros,
                lease.denial(),
                completeIndex,
                retryAfterMillis,
                event,
                changedDrains);
    }

    private SubscriberLeases.Grant renewLease(String subscriber, WatchRequest request, long nowMicros) {
        if (!request.wantsLease()) {
            return SubscriberLeases.Grant.denied("");
        }
        if (!grantsLeases()) {
            return SubscriberLeases.Grant.denied(leasesDisabledReason);
        }
        return leases.renew(subscriber, request.appliedIndex(), request.objection(), nowMicros);
    }

    /** Deltas or the full document; null if the full document is needed and the limiter rejects it. */
    private WatchResponse.Event documentUpdate(String subscriber, WatchRequest request, long nowMicros) {
        ReplicatedState.Document document = history.current();
        List<DocumentDelta> deltas =
                request.wantsFullDocument() ? null : history.since(request.revision(), request.digest());
        if (deltas != null) {
            return new WatchResponse.Event.Deltas(document.revision(), document.index(), document.digest(), deltas);
        }
        return fullDocuments.admit(subscriber, document.content().length, nowMicros)
                ? new WatchResponse.Event.FullDocument(document)
                : null;
    }

    /** The log index that all of this member's subscribers have applied, see {@link SubscriberLeases#appliedFloor}. */
    public long appliedFloor(long nowMicros) {
        return leases.appliedFloor(appliedIndex, nowMicros);
    }

    /** Number of subscribers that hold a lease granted by this member. */
    public int leaseCount(long nowMicros) {
        return leases.activeCount(nowMicros);
    }
}
