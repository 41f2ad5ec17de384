package lupinvalve.replication;

import io.microraft.report.RaftNodeReport;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import lupinvalve.statemachine.MemberId;

/**
 * Delays the response to a strict change until each pooler has applied it or has no valid lease, and so must not serve.
 * On the group's thread.
 */
final class StrictChanges {
    /**
     * How long the leader waits for the poolers before it responds that the change is committed, but not known to be
     * applied by all.
     */
    static final long TIMEOUT_MICROS = 6_000_000;

    private static final long POLL_INTERVAL_MICROS = 20_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final MemberRuntime member;

    StrictChanges(MemberRuntime member) {
        this.member = member;
    }

    /** A responder that sends a success only once no pooler serves with the configuration before the change. */
    Responder wrap(Responder responder) throws InvalidRequestException {
        if (member.leaseHolder() == null) {
            throw new InvalidRequestException("strict changes need store.audit at the leader, and at each member");
        }
        long startedMicros = member.loop().now();
        Consumer<WireMessages.Response> channel = response -> {
            if (response.status() != WireMessages.Status.OK) {
                responder.channel().accept(response);
                return;
            }
            long index = member.replica().state().appliedIndex();
            member.leaseHolder().grantor().requireIndex(index);
            await(new Pending(responder, response.text(), index, startedMicros), List.of());
        };
        return new Responder(responder.requestId(), channel);
    }

    /** A strict change that is committed but not yet applied by all poolers. */
    private record Pending(Responder responder, String json, long index, long startedMicros) {
        void fail(String reason) {
            responder.send(WireMessages.Status.INDETERMINATE, reason);
        }
    }

    private void await(Pending change, List<String> lastPending) {
        member.replica().report((completion, report) -> {
            Optional<List<String>> pending = completion == RaftReplica.Completion.DONE
                    ? member.leaseHolder().grantor().pendingPoolers(change.index(), voters(report))
                    : Optional.empty();
            if (pending.isEmpty()) {
                change.fail("accepted, but the leader changed before all were known to act on it");
            } else {
                check(change, pending.get(), lastPending);
            }
        });
    }

    private void check(Pending change, List<String> pending, List<String> lastPending) {
        long tookMicros = member.loop().now() - change.startedMicros();
        if (tookMicros > TIMEOUT_MICROS) {
            change.fail("accepted, but not known to be acted on by " + pending);
        } else if (pending.isEmpty()) {
            change.responder().ok(Json.withFields(change.json(), out -> {
                out.writeStringField("waited_for", String.join(", ", lastPending));
                out.writeNumberField("strict_ms", tookMicros / MICROS_PER_MILLI);
            }));
        } else {
            member.loop().after(POLL_INTERVAL_MICROS, () -> await(change, pending));
        }
    }

    /** The names of the voting members. */
    List<String> voters(RaftNodeReport report) {
        return member.groupView(report).voters().stream().map(MemberId::name).toList();
    }
}
