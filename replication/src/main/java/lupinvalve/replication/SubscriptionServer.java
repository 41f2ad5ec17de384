package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lupinvalve.config.OperatorConfig;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.WatchRequest;
import lupinvalve.subscription.WatchResponse;
import lupinvalve.subscription.WatchService;

/**
 * Serves a member's subscribers by long polling: a request waits here for an update, for a bounded time. On the group's
 * thread.
 */
final class SubscriptionServer {
    /** The name of the subscribers' request on the wire. */
    static final String CALL = "follow";
    /** Limit on the subscribers of one member. */
    static final int SUBSCRIBERS_MAX_COUNT = 1024;
    /** Pending requests are responded to in batches, so that a document is not sent to all subscribers at once. */
    private static final int RESPONSES_PER_BATCH = 32;

    private static final long BATCH_INTERVAL_MICROS = 1_000;

    private record PendingRequest(
            long requestId, WatchRequest request, long receivedMicros, Consumer<WireMessages.Response> channel) {}

    private final MemberRuntime member;
    private final WatchService service;
    private final Map<String, PendingRequest> pendingBySubscriber = new HashMap<>();
    private long lastChangeIndex;
    private long requestCount;
    private long fullDocumentCount;
    private long deltaResponseCount;
    private long responseBytes;

    /**
     * Starts without subscribers.
     *
     * @param restoredState the state committed before this start, as far as this member's log has it
     */
    SubscriptionServer(MemberRuntime member, ReplicatedState restoredState) {
        this.member = member;
        boolean grantsLeases = member.config().audit() != OperatorConfig.Audit.OFF;
        service = new WatchService(
                grantsLeases ? "" : "store.audit is off at " + member.config().name(), LeaseHolder.monotonicMicros());
        onRestored(restoredState);
    }

    /**
     * The log index of the last change relevant to subscribers, that is, of the document or the drains, which is
     * applied here or known to be committed.
     */
    long lastChangeIndex() {
        return lastChangeIndex;
    }

    /** See {@link WatchService#appliedFloor}. */
    long appliedFloor() {
        return service.appliedFloor(LeaseHolder.monotonicMicros());
    }

    /** See {@link WatchService#onOwnLease}. */
    void onOwnLease(long untilMicros, long leaderIndex) {
        service.onOwnLease(untilMicros, leaderIndex, LeaseHolder.monotonicMicros());
    }

    /** A committed change has been applied at this member. */
    void onApplied(ReplicatedState state, Command command, ReplicatedState.Outcome outcome) {
        boolean relevantToSubscribers = command instanceof Command.PutDocument
                || command instanceof Command.StartDrain
                || command instanceof Command.EndDrain;
        if (relevantToSubscribers && outcome.result() == ReplicatedState.Result.APPLIED) {
            onRestored(state);
        }
        service.advanceAppliedIndex(state.appliedIndex());
    }

    /** The state has been restored from a snapshot, or the document or the drains have changed. */
    void onRestored(ReplicatedState state) {
        lastChangeIndex = Math.max(lastChangeIndex, state.appliedIndex());
        service.onApplied(state.document(), state.drains(), state.appliedIndex(), LeaseHolder.monotonicMicros());
        List<String> due = new ArrayList<>();
        pendingBySubscriber.forEach((subscriber, pending) -> {
            if (service.hasUpdate(pending.request())) {
                due.add(subscriber);
            }
        });
        for (int from = 0; from < due.size(); from += RESPONSES_PER_BATCH) {
            List<String> batch = due.subList(from, Math.min(due.size(), from + RESPONSES_PER_BATCH));
            member.loop().after(from / RESPONSES_PER_BATCH * BATCH_INTERVAL_MICROS, () -> batch.forEach(this::respond));
        }
    }

    /** Handles a subscriber's request; {@code channel} receives one response, at once or after the poll. */
    void onRequest(String subscriber, WireMessages.Request wireRequest, Consumer<WireMessages.Response> channel)
            throws IOException {
        if (wireRequest.arguments().isEmpty()) {
            throw new IOException(CALL + " lacks an argument");
        }
        WatchRequest request = WatchRequest.read(wireRequest.arguments().get(0));
        requestCount++;
        service.onRequest(subscriber);
        PendingRequest pending = new PendingRequest(wireRequest.id(), request, LeaseHolder.monotonicMicros(), channel);
        if (!pendingBySubscriber.containsKey(subscriber) && pendingBySubscriber.size() >= SUBSCRIBERS_MAX_COUNT) {
            reject(pending, "too many follow this member");
            return;
        }
        pendingBySubscriber.put(subscriber, pending);
        if (service.hasUpdate(request)
                || unavailableReason() != null
                || service.canAdmit(subscriber, request, LeaseHolder.monotonicMicros())) {
            respond(subscriber, pending);
        } else {
            member.loop().after(WatchService.LONG_POLL_MICROS, () -> respond(subscriber, pending));
        }
    }

    /** Why subscribers should fail over to another member, or null. */
    private String unavailableReason() {
        if (member.termination() != null) {
            return "this member takes no part any more: " + member.termination().reason();
        }
        if (member.replica() == null) {
            return "the group is not founded yet";
        }
        if (member.configuration().isQuorumLost()) {
            return "cut off from the majority";
        }
        return service.lacksOwnLease(LeaseHolder.monotonicMicros()) ? "this member has no lease itself" : null;
    }

    private static void reject(PendingRequest pending, String reason) {
        pending.channel().accept(new WireMessages.Response(pending.requestId(), WireMessages.Status.RETRY, reason));
    }

    private void respond(String subscriber) {
        PendingRequest pending = pendingBySubscriber.get(subscriber);
        if (pending != null) {
            respond(subscriber, pending);
        }
    }

    /** Responds to a request, unless it has had a response or a later request of the subscriber has replaced it. */
    private void respond(String subscriber, PendingRequest pending) {
        if (!pendingBySubscriber.remove(subscriber, pending)) {
            return;
        }
        String unavailable = unavailableReason();
        if (unavailable != null) {
            reject(pending, unavailable);
            return;
        }
        long nowMicros = LeaseHolder.monotonicMicros();
        WatchResponse response =
                service.respond(subscriber, pending.request(), nowMicros - pending.receivedMicros(), nowMicros);
        fullDocumentCount += response.event() instanceof WatchResponse.Event.FullDocument ? 1 : 0;
        deltaResponseCount += response.event() instanceof WatchResponse.Event.Deltas ? 1 : 0;
        byte[] content = response.write();
        responseBytes += content.length;
        pending.channel().accept(new WireMessages.Response(pending.requestId(), WireMessages.Status.OK, "", content));
    }

    /** Writes the status fields for operators; the {@code follow_} fields are sums since the start. */
    void writeStatus(JsonGenerator out) throws IOException {
        out.writeNumberField("subscribers_waiting", pendingBySubscriber.size());
        out.writeNumberField("subscribers_with_lease", service.leaseCount(LeaseHolder.monotonicMicros()));
        out.writeNumberField("follow_calls", requestCount);
        out.writeNumberField("follow_wholes", fullDocumentCount);
        out.writeNumberField("follow_differences", deltaResponseCount);
        out.writeNumberField("follow_bytes", responseBytes);
    }
}
