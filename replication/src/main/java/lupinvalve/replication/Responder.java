package lupinvalve.replication;

import java.util.function.Consumer;
import java.util.function.Function;
import lupinvalve.statemachine.ReplicatedState;

/** Sends the single response to a request, for each way in which it can end. On the group's thread. */
record Responder(long requestId, Consumer<WireMessages.Response> channel) {
    private static final String EMPTY_OBJECT = "{}";

    void send(WireMessages.Status status, String text) {
        channel.accept(new WireMessages.Response(requestId, status, text));
    }

    void send(WireMessages.Status status, String text, byte[] content) {
        channel.accept(new WireMessages.Response(requestId, status, text, content));
    }

    void ok(String json) {
        send(WireMessages.Status.OK, json);
    }

    void reject(String reason) {
        send(WireMessages.Status.REJECTED, reason);
    }

    void retry(String reason) {
        send(WireMessages.Status.RETRY, reason);
    }

    /** Responds to a request that has not ended as {@link RaftReplica.Completion#DONE}, with the reason. */
    void fail(RaftReplica.Completion completion) {
        send(status(completion), reason(completion));
    }

    /** Responds when an operation has ended: with its result as JSON, or the reason why it has none. */
    <T> RaftReplica.Callback<T> whenCompleted(Function<T, String> json) {
        return (completion, result) -> {
            if (completion == RaftReplica.Completion.DONE) {
                ok(json.apply(result));
            } else {
                fail(completion);
            }
        };
    }

    /** Responds when a proposed change is committed, with its outcome; or the reason why it was not committed. */
    RaftReplica.Callback<ReplicatedState.Outcome> whenCommitted() {
        return (completion, outcome) -> {
            if (completion == RaftReplica.Completion.DONE) {
                sendOutcome(outcome);
            } else {
                fail(completion);
            }
        };
    }

    /** Responds with an empty object when a proposed change is committed, whatever its outcome. */
    RaftReplica.Callback<ReplicatedState.Outcome> whenForwardedCommitted() {
        return whenCompleted(outcome -> EMPTY_OBJECT);
    }

    private void sendOutcome(ReplicatedState.Outcome outcome) {
        if (outcome.result() == ReplicatedState.Result.CONFLICT) {
            send(WireMessages.Status.CONFLICT, "revision " + outcome.revision() + " holds by now");
        } else if (outcome.result() == ReplicatedState.Result.LIMIT_EXCEEDED) {
            reject("too long, or too many of them");
        } else {
            ok(Json.object(out -> {
                out.writeBooleanField("changed", outcome.result() == ReplicatedState.Result.APPLIED);
                out.writeNumberField("revision", outcome.revision());
            }));
        }
    }

    private static WireMessages.Status status(RaftReplica.Completion completion) {
        return switch (completion) {
            case DONE -> WireMessages.Status.OK;
            case NOT_APPLIED -> WireMessages.Status.RETRY;
            case REJECTED -> WireMessages.Status.REJECTED;
            case INDETERMINATE -> WireMessages.Status.INDETERMINATE;
        };
    }

    private static String reason(RaftReplica.Completion completion) {
        return switch (completion) {
            case NOT_APPLIED -> "the leader changes or has too much to do: nothing has happened";
            case REJECTED -> "the group can't do that now";
            default -> "it may have happened: look before asking again";
        };
    }
}
