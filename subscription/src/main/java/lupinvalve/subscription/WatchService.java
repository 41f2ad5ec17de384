package lupinvalve.subscription;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Decides what a member responds to its subscribers: watch events, leases, and Retry-After. Times are of the member's
 * monotonic clock, in microseconds. One thread uses it.
 */
public final class WatchService {
    /** How long a request may wait for an event. Two requests, one of them lost, must fit in a lease. */
    public static final long LONG_POLL_MICROS = 500_000;

    /** Why this member grants no leases at all, or empty if it does. */
    private final String leasesDisabledReason;

    private final RevisionHistory history = new RevisionHistory();
    private final SubscriberLeases leases;
    private final FullDocumentLimiter fullDocuments = new FullDocumentLimiter();
    private Map<Command.DrainTarget, ReplicatedState.Drain> drains = Map.of();
    private String drainsDigest = WatchResponse.digest(Map.of());
    private long appliedIndex;

    /**
     * A service that has applied nothing yet.
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
     * This member has applied a change of the document or the drains. An older state than before, as after a fault of
     * the disk, changes nothing.
     *
     * @param document the current one, or null
     * @param index the last change of document or drains
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

    /** This member has applied the log up to here; changes for subscribers are reported by {@link #onApplied}. */
    public void advanceAppliedIndex(long index) {
        appliedIndex = Math.max(appliedIndex, index);
    }

    /** The member's own lease has been granted, see {@link SubscriberLeases#onOwnLease}. */
    public void onOwnLease(long untilMicros, long leaderIndex, long nowMicros) {
        leases.onOwnLease(untilMicros, leaderIndex, nowMicros);
    }

    /** Whether this member grants leases but can't now, so that its subscribers had better go to another one. */
    public boolean lacksOwnLease(long nowMicros) {
        return grantsLeases() && leases.ownLeaseLeftMicros(nowMicros) <= 0;
    }

    /** Whether a subscriber without a lease would be granted one now. */
    public boolean canAdmit(String subscriber, WatchRequest request, long nowMicros) {
        return grantsLeases() && request.wantsLease() && leases.canAdmit(subscriber, request.appliedIndex(), nowMicros);
    }

    /** Whether there is something that a subscriber does not have yet. */
    public boolean hasUpdate(WatchRequest request) {
        return !isAhead(request) && (drainsDiffer(request) || documentDiffers(request));
    }

    /** Whether the subscriber has applied more than this member, which then has nothing for it. */
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

    /** A subscriber's request has arrived. */
    public void onRequest(String subscriber) {
        fullDocuments.confirm(subscriber);
    }

    /**
     * Responds to a subscriber.
     *
     * @param queuedMicros how long its request has waited here
     */
    public WatchResponse respond(String subscriber, WatchRequest request, long queuedMicros, long nowMicros) {
        SubscriberLeases.Grant lease = lease(subscriber, request, nowMicros);
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
                lease.lengthMicros(),
                queuedMicros,
                lease.denial(),
                completeIndex,
                retryAfterMillis,
                event,
                changedDrains);
    }

    private SubscriberLeases.Grant lease(String subscriber, WatchRequest request, long nowMicros) {
        if (!request.wantsLease()) {
            return SubscriberLeases.Grant.denied("");
        }
        if (!grantsLeases()) {
            return SubscriberLeases.Grant.denied(leasesDisabledReason);
        }
        return leases.renew(subscriber, request.appliedIndex(), request.objection(), nowMicros);
    }

    /** Deltas or the full document; null if only a full document would do and the limiter rejects it. */
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

    /** The log index up to which this member's subscribers apply, see {@link SubscriberLeases#appliedFloor}. */
    public long appliedFloor(long nowMicros) {
        return leases.appliedFloor(appliedIndex, nowMicros);
    }

    /** How many subscribers have a lease of this member. */
    public int leaseCount(long nowMicros) {
        return leases.activeCount(nowMicros);
    }
}
