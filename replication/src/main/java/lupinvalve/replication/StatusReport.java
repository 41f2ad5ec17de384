package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Reports a member's status and the replicated state to operators as JSON. Operators' tools read the field names, so
 * they must not change. On the group's thread.
 */
final class StatusReport {
    private static final long MICROS_PER_MILLI = 1_000;

    private final MemberRuntime member;

    StatusReport(MemberRuntime member) {
        this.member = member;
    }

    /** Passes the member's status to {@code callback}, with the Raft node's report if the node is running. */
    void status(Consumer<String> callback) {
        if (member.replica() == null || member.termination() != null) {
            callback.accept(Json.object(out -> status(out, null)));
        } else {
            member.replica().report((completion, report) -> callback.accept(Json.object(out -> status(out, report))));
        }
    }

    private void status(JsonGenerator out, RaftNodeReport report) throws IOException {
        ReplicatedState state = member.replica() == null
                ? member.initialState()
                : member.replica().state();
        identity(out);
        configuration(out);
        out.writeNumberField("applied_change", state.appliedIndex());
        LeaseHolder lease = member.leaseHolder();
        if (lease != null) {
            out.writeNumberField("acting_change", lease.servedIndex());
            out.writeNumberField("lease_ms", lease.remainingMicros() / MICROS_PER_MILLI);
            out.writeStringField("shut_out", lease.denialReason());
        }
        member.subscriptions().writeStatus(out);
        out.writeNumberField("sessions", state.sessionCount());
        out.writeNumberField("holds", state.drains().size());
        out.writeNumberField("listed_nodes", state.endpointList().endpoints().size());
        out.writeNumberField("history_bytes", member.log().logBytes());
        out.writeNumberField("snapshot_bytes", member.log().snapshotBytes());
        if (report != null) {
            out.writeNumberField("term", report.getTerm().getTerm());
            out.writeNumberField("committed_change", report.getLog().getCommitIndex());
            out.writeNumberField("last_change", report.getLog().getLastLogOrSnapshotIndex());
            members(out, report);
        }
    }

    private void identity(JsonGenerator out) throws IOException {
        ClusterBootstrap.Announcement own = member.log().announcement();
        MemberId leader = member.leader();
        out.writeStringField("cluster", member.config().cluster());
        out.writeStringField("name", member.config().name());
        out.writeStringField("disk", own.member().diskId());
        out.writeStringField("phase", own.phase().statusName());
        out.writeStringField("leader", leader == null ? "" : leader.name());
        out.writeBooleanField("leads", member.isLeader());
        out.writeBooleanField("cut_off", member.configuration().isQuorumLost());
    }

    private void configuration(JsonGenerator out) throws IOException {
        ReplicatedState.Document active = member.configuration().active();
        out.writeStringField("acting", summary());
        out.writeNumberField("revision", active == null ? 0 : active.revision());
        out.writeStringField("digest", active == null ? "" : active.digest());
        out.writeNumberField("adopted_change", active == null ? 0 : active.index());
    }

    private String summary() {
        ClusterBootstrap.Phase phase = member.log().announcement().phase();
        String configuration = member.configuration().describe();
        if (member.termination() != null) {
            return "takes no part any more: " + member.termination().reason() + "; " + configuration;
        } else if (phase == ClusterBootstrap.Phase.UNBOUND || phase == ClusterBootstrap.Phase.BOUND) {
            return "the group is not founded yet: " + member.bootstrap().pendingReason();
        }
        return configuration;
    }

    /** The group's members, and the connected nodes that are not members. */
    String members(RaftNodeReport report) {
        return Json.object(out -> members(out, report));
    }

    private void members(JsonGenerator out, RaftNodeReport report) throws IOException {
        MembershipChange.GroupView view = member.groupView(report);
        Set<MemberId> memberIds = new TreeSet<>(view.voters());
        memberIds.addAll(view.learners());
        memberIds.addAll(view.nonMembers());
        out.writeArrayFieldStart("members");
        for (MemberId memberId : memberIds) {
            out.writeStartObject();
            out.writeStringField("name", memberId.name());
            out.writeStringField("disk", memberId.diskId());
            out.writeStringField("part", part(memberId, view));
            out.writeBooleanField("leads", memberId.equals(member.leader()));
            out.writeBooleanField("in_reach", view.reachable().contains(memberId));
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static String part(MemberId memberId, MembershipChange.GroupView view) {
        if (view.voters().contains(memberId)) {
            return "votes";
        }
        return view.learners().contains(memberId) ? "learns" : "none";
    }

    /** The committed configuration, with its secrets or with these masked. */
    String document(boolean withSecrets) {
        ReplicatedState state = member.replica().state();
        ReplicatedState.Document document = state.document();
        return Json.object(out -> {
            out.writeNumberField("revision", state.revision());
            if (document != null) {
                out.writeNumberField("change", document.index());
                out.writeStringField("digest", document.digest());
                out.writeFieldName("document");
                out.writeRawValue(withSecrets ? Json.text(document.content()) : Json.masked(document.content()));
            }
        });
    }

    /** The drains of db nodes and poolers that operators have started and not ended. */
    String drains() {
        return Json.object(out -> {
            out.writeArrayFieldStart("holds");
            for (Map.Entry<Command.DrainTarget, ReplicatedState.Drain> drain :
                    member.replica().state().drains().entrySet()) {
                out.writeStartObject();
                out.writeStringField("kind", drain.getKey().kind() == Command.TargetKind.NODE ? "node" : "pooler");
                out.writeStringField("name", drain.getKey().name());
                out.writeStringField("why", drain.getValue().reason());
                out.writeNumberField("at_ms", drain.getValue().sinceMicros() / MICROS_PER_MILLI);
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    /** Poolers without a lease, each with the leader's reason. */
    String excludedPoolers(Map<String, String> reasons) {
        return Json.object(out -> {
            out.writeArrayFieldStart("stragglers");
            for (Map.Entry<String, String> excluded : reasons.entrySet()) {
                out.writeStartObject();
                out.writeStringField("pooler", excluded.getKey());
                out.writeStringField("why", excluded.getValue());
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    /** Log index of the last snapshot, and its size on the disk. */
    String snapshot(RaftNodeReport report) {
        return Json.object(out -> {
            out.writeNumberField("snapshot_index", report.getLog().getLastSnapshotIndex());
            out.writeNumberField("snapshot_bytes", member.log().snapshotBytes());
        });
    }
}
