package lupinvalve.replication;

import io.microraft.report.RaftNodeReport;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MembershipChange;

/** Adds and removes members while this one leads, one step after another. On the group's thread. */
final class MembershipChanges {
    /** How long one membership change may take in all. */
    static final long TIMEOUT_MICROS = 20_000_000;
    /** How long after each step the group is looked at again. */
    static final long STEP_INTERVAL_MICROS = 50_000;

    private final MemberRuntime member;
    private final StatusReport status;

    MembershipChanges(MemberRuntime member, StatusReport status) {
        this.member = member;
        this.status = status;
    }

    /** Responds once the group is as requested, or can't be brought there, or the time is over. */
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
                MembershipChange.Step next = MembershipChange.nextStep(request, member.groupView(report));
                take(next, report, request, deadlineMicros, responder);
            }
        });
    }

    private void take(
            MembershipChange.Step next,
            RaftNodeReport report,
            MembershipChange.Request request,
            long deadlineMicros,
            Responder responder) {
        Runnable goOn =
                () -> member.loop().after(STEP_INTERVAL_MICROS, () -> advance(request, deadlineMicros, responder));
        if (next instanceof MembershipChange.Step.Done) {
            forgetAddress(request);
            responder.ok(status.members(report));
        } else if (next instanceof MembershipChange.Step.Rejected rejected) {
            responder.reject(rejected.reason());
        } else if (member.loop().now() > deadlineMicros) {
            responder.retry(
                    next instanceof MembershipChange.Step.Wait wait
                            ? wait.reason()
                            : "it takes longer; ask again to go on");
        } else if (next instanceof MembershipChange.Step.Wait) {
            goOn.run();
        } else {
            Log.info("store: membership change: %s", next);
            member.replica().changeMembership(next, report, (completion, ignored) -> {
                if (next instanceof MembershipChange.Step.TransferLeadership) {
                    responder.retry("another member leads now; ask again to go on");
                } else {
                    // Whether it was taken shows in what the group looks like next.
                    goOn.run();
                }
            });
        }
    }

    private void forgetAddress(MembershipChange.Request request) {
        if (!request.add() && member.replica().state().memberAddresses().containsKey(request.name())) {
            member.replica().propose(new Command.SetMemberAddress(request.name(), ""), (completion, outcome) -> {});
        }
    }
}
