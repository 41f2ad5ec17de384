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
import lupinvalve.subscription.FollowAnswer;
import lupinvalve.subscription.FollowRequest;
import lupinvalve.subscription.FollowService;

/** A member's subscribers: their requests wait here for news, for a bounded time. On the group's thread. */
final class Followers {
    /** The call that subscribers make. */
    static final String CALL = "follow";
    /** Subscribers at one member at most. */
    static final int MOST = 1024;
    /** Those that wait are answered in slices, so that a document is not sent to all in one moment. */
    private static final int SLICE = 32;

    private static final long SLICE_STEP = 1_000;

    /** A request that waits. */
    private record Waiting(
            long call, FollowRequest request, long sinceMicros, Consumer<WireMessages.Response> answer) {}

    private final MemberRuntime group;
    private final FollowService service;
    private final Map<String, Waiting> waiting = new HashMap<>();
    private long changed, calls, wholes, differences, bytes;

    /** @param warm what a majority has accepted, as far as is known before the start */
    Followers(MemberRuntime group, ReplicatedState warm) {
        this.group = group;
        service = new FollowService(
                group.config().audit() == OperatorConfig.Audit.OFF
                        ? "store.audit is off at " + group.config().name()
                        : "",
                LeaseHolder.monotonicMicros());
        restored(warm);
    }

    /** The last change that matters to poolers, as applied here or known as accepted. */
    long changed() {
        return changed;
    }

    long floor() {
        return service.floor(LeaseHolder.monotonicMicros());
    }

    void right(long untilMicros, long leadersChanged) {
        service.right(untilMicros, leadersChanged, LeaseHolder.monotonicMicros());
    }

    /** A change has been applied here. */
    void applied(ReplicatedState ledger, Command change, ReplicatedState.Outcome outcome) {
        boolean matters = change instanceof Command.PutDocument
                || change instanceof Command.StartDrain
                || change instanceof Command.EndDrain;
        if (matters && outcome.result() == ReplicatedState.Result.APPLIED) {
            restored(ledger);
        }
        service.appliedTo(ledger.appliedIndex());
    }

    /** What holds has been taken from a snapshot, or has changed. */
    void restored(ReplicatedState ledger) {
        changed = Math.max(changed, ledger.appliedIndex());
        service.applied(ledger.document(), ledger.drains(), ledger.appliedIndex(), LeaseHolder.monotonicMicros());
        List<String> due = new ArrayList<>();
        waiting.forEach((who, one) -> {
            if (service.hasNews(one.request())) {
                due.add(who);
            }
        });
        for (int from = 0; from < due.size(); from += SLICE) {
            List<String> slice = due.subList(from, Math.min(due.size(), from + SLICE));
            group.loop().after(from / SLICE * SLICE_STEP, () -> slice.forEach(who -> answer(who, waiting.get(who))));
        }
    }

    /** A subscriber asks. */
    void call(String caller, WireMessages.Request call, Consumer<WireMessages.Response> answer) throws IOException {
        if (call.arguments().isEmpty()) {
            throw new IOException(CALL + " lacks an argument");
        }
        FollowRequest request = FollowRequest.read(call.arguments().get(0));
        calls++;
        service.asked(caller);
        Waiting one = new Waiting(call.id(), request, LeaseHolder.monotonicMicros(), answer);
        if (!waiting.containsKey(caller) && waiting.size() >= MOST) {
            refuse(one, "too many follow this member");
            return;
        }
        waiting.put(caller, one);
        if (service.hasNews(request)
                || unfit() != null
                || service.mayBeLetIn(caller, request, LeaseHolder.monotonicMicros())) {
            answer(caller, one);
        } else {
            group.loop().after(FollowService.HOLD, () -> answer(caller, one));
        }
    }

    /** Why a subscriber does better at another member, or null. */
    private String unfit() {
        if (group.replica() == null || group.termination() != null) {
            return group.termination() != null
                    ? "this member takes no part any more: "
                            + group.termination().reason()
                    : "the group is not founded yet";
        }
        if (group.configuration().isQuorumLost()) {
            return "cut off from the majority";
        }
        return service.powerless(LeaseHolder.monotonicMicros()) ? "this member has no lease itself" : null;
    }

    private static void refuse(Waiting one, String why) {
        one.answer().accept(new WireMessages.Response(one.call(), WireMessages.Status.RETRY, why));
    }

    private void answer(String who, Waiting one) {
        if (one == null || !waiting.remove(who, one)) {
            return;
        }
        String unfit = unfit();
        if (unfit != null) {
            refuse(one, unfit);
            return;
        }
        long now = LeaseHolder.monotonicMicros();
        FollowAnswer answer = service.answer(who, one.request(), now - one.sinceMicros(), now);
        wholes += answer.news() instanceof FollowAnswer.News.Whole ? 1 : 0;
        differences += answer.news() instanceof FollowAnswer.News.Differences ? 1 : 0;
        byte[] content = answer.write();
        bytes += content.length;
        one.answer().accept(new WireMessages.Response(one.call(), WireMessages.Status.OK, "", content));
    }

    /** Who follows, and sums since the start; bytes are those of answers. */
    void status(JsonGenerator out) throws IOException {
        out.writeNumberField("subscribers_waiting", waiting.size());
        out.writeNumberField("subscribers_with_lease", service.holding(LeaseHolder.monotonicMicros()));
        out.writeNumberField("follow_calls", calls);
        out.writeNumberField("follow_wholes", wholes);
        out.writeNumberField("follow_differences", differences);
        out.writeNumberField("follow_bytes", bytes);
    }
}
