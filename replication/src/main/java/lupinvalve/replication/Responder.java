package lupinvalve.replication;

import java.util.function.Consumer;
import java.util.function.Function;
import lupinvalve.statemachine.ReplicatedState;

/** Sends the one response to a request, in each of the ways that a request can end. On the group's thread. */
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

    /** Tells why something was not completed. */
    void fail(RaftReplica.Completion completion) {
        send(status(completion), reason(completion));
    }

    /** Responds once something has come to its end: with a text of its result, or why there is none. */
    <T> RaftReplica.Callback<T> whenCompleted(Function<T, String> json) {
        return (completion, result) -> {
            if (completion == RaftReplica.Completion.DONE) {
                ok(json.apply(result));
            } else {
                fail(completion);
            }
        };
    }

    /** Responds once a proposed change is committed: with what became of it, or why it was not. */
    RaftReplica.Callback<ReplicatedState.Outcome> whenCommitted() {
        return (completion, outcome) -> {
            if (completion == RaftReplica.Completion.DONE) {
                sendOutcome(outcome);
            } else {
                fail(completion);
            }
        };
    }

    /** Responds with an empty object once a proposed change is committed, whatever became of it. */
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
