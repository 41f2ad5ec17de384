package lupinvalve.replication;

import io.microraft.report.RaftNodeReport;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MembershipChange;

/** Adds and removes members while this member leads, one step at a time. On the group's thread. */
final class MembershipChanges {
    /** Timeout of a membership change, over all its steps. */
    static final long TIMEOUT_MICROS = 20_000_000;
    /** Delay after each step before the next one is planned from a new report. */
    static final long STEP_INTERVAL_MICROS = 50_000;

    private final MemberRuntime member;
    private final StatusReport status;

    MembershipChanges(MemberRuntime member, StatusReport status) {
        this.member = member;
        this.status = status;
    }

    /** Executes a membership change; responds when it is completed or rejected, or when its timeout has passed. */
    void start(MembershipChange.Request request, Responder responder) {
        advance(request, member.loop().now() + TIMEOUT_MICROS, responder);
    }

    private void advance(MembershipChange.Request request, long deadlineMicros, Responder responder) {
        member.replica().report((completion, report) -> {
            if (completion != RaftReplica.Completion.DONE) {
                responder.fail(completion);
            } else if (!RaftReplica.isLeader(report)) {
                responder.retry("the leader changes");
            } else {
                MembershipChange.Step step = MembershipChange.nextStep(request, member.groupView(report));
                execute(step, report, request, deadlineMicros, responder);
            }
        });
    }

    private void execute(
            MembershipChange.Step step,
            RaftNodeReport report,
            MembershipChange.Request request,
            long deadlineMicros,
            Responder responder) {
        Runnable advanceLater =
                () -> member.loop().after(STEP_INTERVAL_MICROS, () -> advance(request, deadlineMicros, responder));
        if (step instanceof MembershipChange.Step.Done) {
            deleteAddress(request);
            responder.ok(status.members(report));
        } else if (step instanceof MembershipChange.Step.Rejected rejected) {
            responder.reject(rejected.reason());
        } else if (member.loop().now() > deadlineMicros) {
            responder.retry(
                    step instanceof MembershipChange.Step.Wait wait
                            ? wait.reason()
                            : "it takes longer; ask again to go on");
        } else if (step instanceof MembershipChange.Step.Wait) {
            advanceLater.run();
        } else {
            Log.info("store: membership change: %s", step);
            member.replica().changeMembership(step, report, (completion, ignored) -> {
                if (step instanceof MembershipChange.Step.TransferLeadership) {
                    responder.retry("another member leads now; ask again to go on");
                } else {
                    // The next report shows whether the step was committed.
                    advanceLater.run();
                }
            });
        }
    }

    private void deleteAddress(MembershipChange.Request request) {
        if (!request.add() && member.replica().state().memberAddresses().containsKey(request.name())) {
            member.replica().propose(new Command.SetMemberAddress(request.name(), ""), (completion, outcome) -> {});
        }
    }
}
