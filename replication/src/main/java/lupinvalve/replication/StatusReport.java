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
 * What a member tells operators of itself and of the replicated state, as JSON. Field names are the operators'. On the
 * group's thread.
 */
final class StatusReport {
    private static final long MICROS_PER_MILLI = 1_000;

    private final MemberRuntime member;

    StatusReport(MemberRuntime member) {
        this.member = member;
    }

    /** Gives the member's status, with what its Raft node reports where it has one that runs. */
    void status(Consumer<String> then) {
        if (member.replica() == null || member.termination() != null) {
            then.accept(Json.object(out -> status(out, null)));
        } else {
            member.replica().report((completion, report) -> then.accept(Json.object(out -> status(out, report))));
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

    /** The group's members, and those connected that are none. */
    String members(RaftNodeReport report) {
        return Json.object(out -> members(out, report));
    }

    private void members(JsonGenerator out, RaftNodeReport report) throws IOException {
        MembershipChange.GroupView view = member.groupView(report);
        Set<MemberId> all = new TreeSet<>(view.voters());
        all.addAll(view.learners());
        all.addAll(view.nonMembers());
        out.writeArrayFieldStart("members");
        for (MemberId one : all) {
            out.writeStartObject();
            out.writeStringField("name", one.name());
            out.writeStringField("disk", one.diskId());
            out.writeStringField("part", part(one, view));
            out.writeBooleanField("leads", one.equals(member.leader()));
            out.writeBooleanField("in_reach", view.reachable().contains(one));
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static String part(MemberId one, MembershipChange.GroupView view) {
        if (view.voters().contains(one)) {
            return "votes";
        }
        return view.learners().contains(one) ? "learns" : "none";
    }

    /** The committed configuration; its secrets are masked unless they are asked for. */
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

    /** Which db nodes and poolers operators drain. */
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

    /** Poolers without a lease, with the leader's reasons. */
    String excludedPoolers(Map<String, String> reasons) {
        return Json.object(out -> {
            out.writeArrayFieldStart("stragglers");
            for (Map.Entry<String, String> one : reasons.entrySet()) {
                out.writeStartObject();
                out.writeStringField("pooler", one.getKey());
                out.writeStringField("why", one.getValue());
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    /** Where the last snapshot stands and what it takes on the disk. */
    String snapshot(RaftNodeReport report) {
        return Json.object(out -> {
            out.writeNumberField("snapshot_index", report.getLog().getLastSnapshotIndex());
            out.writeNumberField("snapshot_bytes", member.log().snapshotBytes());
        });
    }
}
