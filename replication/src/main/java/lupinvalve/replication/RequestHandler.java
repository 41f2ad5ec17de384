package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import lupinvalve.audit.LeaseManager;
import lupinvalve.log.Log;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;

/** What operators and other members ask of this one, and what they are told. On the group's thread. */
final class RequestHandler {
    /**
     * How long a call that another member forwarded may take, a change of members in all, and the pause between its
     * steps.
     */
    static final long FORWARDED = 3_000_000;

    private static final long STRICT_WITHIN = 6_000_000, STRICT_STEP = 20_000;
    private static final long MEMBERS_WITHIN = 20_000_000, STEP = 50_000;
    private final RaftMember group;

    RequestHandler(RaftMember group) {
        this.group = group;
    }

    private static String argument(WireMessages.Request call, int at) throws IOException {
        if (call.arguments().size() <= at) {
            throw new IOException(call.name() + " lacks an argument");
        }
        return new String(call.arguments().get(at), StandardCharsets.UTF_8);
    }

    void call(String caller, WireMessages.Request call, Consumer<WireMessages.Response> answer) {
        try {
            if (call.name().equals(SubscriptionServer.CALL)) {
                group.subscriptions().onRequest(caller, call, answer);
            } else if (call.name().equals("status")) {
                status(text -> answer.accept(new WireMessages.Response(call.id(), WireMessages.Status.OK, text)));
            } else if (group.replica() == null || group.ended() != null) {
                answer.accept(new WireMessages.Response(
                        call.id(),
                        WireMessages.Status.RETRY,
                        group.ended() != null
                                ? "this member takes no part any more: " + group.ended()
                                : "the group is not founded yet: "
                                        + group.founding().pendingReason()));
            } else if (group.replica().leads()) {
                lead(call, answer);
            } else if (group.leader() == null || call.name().startsWith(">")) {
                answer.accept(new WireMessages.Response(
                        call.id(), WireMessages.Status.RETRY, "no majority is in touch: no leader"));
            } else {
                group.peers()
                        .call(
                                group.leader(),
                                call.name().equals("propose") ? "propose" : ">" + call.name(),
                                call.arguments(),
                                call.name().equals("add") || call.name().equals("remove")
                                        ? MEMBERS_WITHIN + FORWARDED
                                        : FORWARDED + STRICT_WITHIN,
                                got -> answer.accept(
                                        new WireMessages.Response(call.id(), got.status(), got.text(), got.content())));
            }
        } catch (IOException | IllegalArgumentException e) {
            answer.accept(
                    new WireMessages.Response(call.id(), WireMessages.Status.REJECTED, String.valueOf(e.getMessage())));
        }
    }

    private void lead(WireMessages.Request call, Consumer<WireMessages.Response> answer) throws IOException {
        String name = call.name().startsWith(">") ? call.name().substring(1) : call.name();
        switch (name) {
            case "propose" -> group.replica()
                    .propose(CommandCodec.decode(call.arguments().get(0)), told(call, answer, outcome -> "{}"));
            case "get" -> group.replica().upToDate(told(call, answer, ok -> document(call)));
            case "put" -> put(call, answer);
            case "hold" -> group.replica()
                    .propose(
                            new Command.StartDrain(
                                    holding(call),
                                    argument(call, 2),
                                    group.loop().now()),
                            taken(call, strict(call, 3, answer)));
            case "release" -> group.replica()
                    .propose(new Command.EndDrain(holding(call)), taken(call, strict(call, 2, answer)));
            case "lease" -> lease(call, answer);
            case "audit" -> audit(call, answer);
            case "holds" -> group.replica().upToDate(told(call, answer, ok -> holds()));
            case "members" -> group.replica().report(told(call, answer, this::members));
            case "add", "remove" -> change(
                    new MembershipChange.Request(name.equals("add"), argument(call, 0)),
                    group.loop().now() + MEMBERS_WITHIN,
                    (code, text) -> answer.accept(new WireMessages.Response(call.id(), code, text)));
            case "snapshot" -> group.replica()
                    .snapshot(told(
                            call,
                            answer,
                            report -> Json.object(out -> {
                                out.writeNumberField(
                                        "snapshot_index", report.getLog().getLastSnapshotIndex());
                                out.writeNumberField(
                                        "snapshot_bytes", group.log().snapshotBytes());
                            })));
            default -> answer.accept(
                    new WireMessages.Response(call.id(), WireMessages.Status.REJECTED, "no such call: " + name));
        }
    }

    private static Command.DrainTarget holding(WireMessages.Request call) throws IOException {
        String kind = argument(call, 0);
        if (!kind.equals("node") && !kind.equals("pooler")) {
            throw new IOException("what is held is a node or a pooler, not a " + kind);
        }
        return new Command.DrainTarget(
                kind.equals("node") ? Command.TargetKind.NODE : Command.TargetKind.POOLER, argument(call, 1));
    }

    private static WireMessages.Status code(RaftReplica.Completion fate) {
        return switch (fate) {
            case DONE -> WireMessages.Status.OK;
            case NOT_APPLIED -> WireMessages.Status.RETRY;
            case REJECTED -> WireMessages.Status.REJECTED;
            default -> WireMessages.Status.INDETERMINATE;
        };
    }

    private static String words(RaftReplica.Completion fate) {
        return fate == RaftReplica.Completion.NOT_APPLIED
                ? "the leader changes or has too much to do: nothing has happened"
                : fate == RaftReplica.Completion.REJECTED
                        ? "the group can't do that now"
                        : "it may have happened: look before asking again";
    }

    private <T> RaftReplica.Callback<T> told(
            WireMessages.Request call, Consumer<WireMessages.Response> answer, Function<T, String> text) {
        return (fate, result) -> answer.accept(new WireMessages.Response(
                call.id(), code(fate), fate == RaftReplica.Completion.DONE ? text.apply(result) : words(fate)));
    }

    private RaftReplica.Callback<ReplicatedState.Outcome> taken(
            WireMessages.Request call, Consumer<WireMessages.Response> answer) {
        return (fate, outcome) -> {
            WireMessages.Status code = code(fate);
            String text = fate == RaftReplica.Completion.DONE ? "{}" : words(fate);
            if (fate == RaftReplica.Completion.DONE && outcome.result() == ReplicatedState.Result.CONFLICT) {
                code = WireMessages.Status.CONFLICT;
                text = "revision " + outcome.revision() + " holds by now";
            } else if (fate == RaftReplica.Completion.DONE
                    && outcome.result() == ReplicatedState.Result.LIMIT_EXCEEDED) {
                code = WireMessages.Status.REJECTED;
                text = "too long, or too many of them";
            } else if (fate == RaftReplica.Completion.DONE) {
                text = Json.object(out -> {
                    out.writeBooleanField("changed", outcome.result() == ReplicatedState.Result.APPLIED);
                    out.writeNumberField("revision", outcome.revision());
                });
            }
            answer.accept(new WireMessages.Response(call.id(), code, text));
        };
    }

    private void put(WireMessages.Request call, Consumer<WireMessages.Response> answer) throws IOException {
        long expected = Long.parseLong(argument(call, 0));
        byte[] document = call.arguments().get(1);
        // Checked whole before it is proposed: what a majority accepts is a configuration that can be acted on.
        String objection = group.listener().validationError(document);
        ReplicatedState.Document holds = group.replica().ledger().document();
        if (objection == null) {
            objection = group.listener().transitionError(holds == null ? null : holds.content(), document);
        }
        if (objection != null) {
            answer.accept(new WireMessages.Response(call.id(), WireMessages.Status.REJECTED, objection));
            return;
        }
        group.replica().propose(new Command.PutDocument(expected, document), taken(call, strict(call, 2, answer)));
    }

    /** Another member asks for a lease, or this one's own operator sees why there is none. */
    private void lease(WireMessages.Request call, Consumer<WireMessages.Response> answer) throws IOException {
        // A member of an earlier version has no subscribers.
        long followersFloor = call.arguments().size() > 3 ? Long.parseLong(argument(call, 3)) : Long.MAX_VALUE;
        LeaseManager.Renewal granted = group.acting() == null
                ? new LeaseManager.Renewal(0, "audit is off at the leader")
                : group.acting()
                        .grant(argument(call, 0), Long.parseLong(argument(call, 1)), argument(call, 2), followersFloor);
        WireMessages.Status code = granted.durationMicros() > 0
                ? WireMessages.Status.OK
                : granted.reason().isEmpty() ? WireMessages.Status.RETRY : WireMessages.Status.REJECTED;
        answer.accept(new WireMessages.Response(
                call.id(),
                code,
                granted.durationMicros() > 0 ? Long.toString(granted.durationMicros()) : granted.reason(),
                new Cbor.Writer()
                        .number(group.subscriptions().lastChangeIndex())
                        .toByteArray()));
    }

    private void audit(WireMessages.Request call, Consumer<WireMessages.Response> answer) throws IOException {
        List<String> question = new ArrayList<>();
        for (int i = 0; i < call.arguments().size(); i++) {
            question.add(argument(call, i));
        }
        if (question.equals(List.of("stragglers"))) {
            if (group.acting() == null) {
                throw new IOException("audit is off at the leader");
            }
            group.replica().report(told(call, answer, this::stragglers));
            return;
        }
        group.replica().upToDate((fate, ok) -> {
            try {
                answer.accept(new WireMessages.Response(
                        call.id(),
                        code(fate),
                        fate != RaftReplica.Completion.DONE
                                ? words(fate)
                                : AuditQueries.answer(
                                        AuditQueries.course(group.replica()
                                                .ledger()
                                                .auditEntries()
                                                .values()),
                                        question)));
            } catch (IOException e) {
                answer.accept(new WireMessages.Response(call.id(), WireMessages.Status.REJECTED, e.getMessage()));
            }
        });
    }

    private String stragglers(RaftNodeReport report) {
        return Json.object(out -> {
            out.writeArrayFieldStart("stragglers");
            for (Map.Entry<String, String> one :
                    group.acting().stragglers(voters(report)).entrySet()) {
                out.writeStartObject();
                out.writeStringField("pooler", one.getKey());
                out.writeStringField("why", one.getValue());
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    private List<String> voters(RaftNodeReport report) {
        return view(report).voters().stream().map(MemberId::name).toList();
    }

    /**
     * For a call that is strict, an answer that waits until each pooler acts on what was accepted or may act no more;
     * then it tells who was waited for last.
     */
    private Consumer<WireMessages.Response> strict(
            WireMessages.Request call, int at, Consumer<WireMessages.Response> answer) throws IOException {
        if (call.arguments().size() <= at || !argument(call, at).equals("strict")) {
            return answer;
        }
        if (group.acting() == null) {
            throw new IOException("strict changes need store.audit at the leader, and at each member");
        }
        long asked = group.loop().now();
        return done -> {
            if (done.status() != WireMessages.Status.OK) {
                answer.accept(done);
                return;
            }
            long index = group.replica().ledger().appliedIndex();
            group.acting().strict(index);
            settle(done, index, asked, List.of(), answer);
        };
    }

    private void settle(
            WireMessages.Response done,
            long index,
            long asked,
            List<String> before,
            Consumer<WireMessages.Response> answer) {
        group.replica().report((fate, report) -> {
            List<String> poolers = fate != RaftReplica.Completion.DONE ? null : voters(report);
            List<String> left = poolers == null ? null : group.acting().waitedFor(index, poolers);
            long took = group.loop().now() - asked;
            if (left == null || took > STRICT_WITHIN) {
                answer.accept(new WireMessages.Response(
                        done.id(),
                        WireMessages.Status.INDETERMINATE,
                        left == null
                                ? "accepted, but the leader changed before all were known to act on it"
                                : "accepted, but not known to be acted on by " + left));
            } else if (left.isEmpty()) {
                answer.accept(
                        new WireMessages.Response(done.id(), WireMessages.Status.OK, Json.with(done.text(), out -> {
                            out.writeStringField("waited_for", String.join(", ", before));
                            out.writeNumberField("strict_ms", took / 1000);
                        })));
            } else {
                group.loop().after(STRICT_STEP, () -> settle(done, index, asked, left, answer));
            }
        });
    }

    private String document(WireMessages.Request call) {
        ReplicatedState.Document document = group.replica().ledger().document();
        boolean bare = !call.arguments().isEmpty() && call.arguments().get(0).length > 0;
        return Json.object(out -> {
            out.writeNumberField("revision", group.replica().ledger().revision());
            if (document != null) {
                out.writeNumberField("change", document.index());
                out.writeStringField("digest", document.digest());
                out.writeFieldName("document");
                out.writeRawValue(bare ? Json.text(document.content()) : Json.masked(document.content()));
            }
        });
    }

    private String holds() {
        return Json.object(out -> {
            out.writeArrayFieldStart("holds");
            for (Map.Entry<Command.DrainTarget, ReplicatedState.Drain> hold :
                    group.replica().ledger().drains().entrySet()) {
                out.writeStartObject();
                out.writeStringField("kind", hold.getKey().kind() == Command.TargetKind.NODE ? "node" : "pooler");
                out.writeStringField("name", hold.getKey().name());
                out.writeStringField("why", hold.getValue().reason());
                out.writeNumberField("at_ms", hold.getValue().sinceMicros() / 1000);
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    private String members(RaftNodeReport report) {
        return Json.object(out -> members(out, report));
    }

    private void members(JsonGenerator out, RaftNodeReport report) throws IOException {
        MembershipChange.GroupView view = view(report);
        Set<MemberId> all = new TreeSet<>(view.voters());
        all.addAll(view.learners());
        all.addAll(view.nonMembers());
        out.writeArrayFieldStart("members");
        for (MemberId one : all) {
            out.writeStartObject();
            out.writeStringField("name", one.name());
            out.writeStringField("disk", one.diskId());
            out.writeStringField(
                    "part",
                    view.voters().contains(one) ? "votes" : view.learners().contains(one) ? "learns" : "none");
            out.writeBooleanField("leads", one.equals(group.leader()));
            out.writeBooleanField("in_reach", view.reachable().contains(one));
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private MembershipChange.GroupView view(RaftNodeReport report) {
        Set<MemberId> connected = group.peers().connected();
        Set<MemberId> strangers = new TreeSet<>(connected);
        MembershipChange.GroupView view = RaftReplica.view(report, strangers, connected);
        strangers.removeAll(view.voters());
        strangers.removeAll(view.learners());
        return view;
    }

    private interface Told {
        void done(WireMessages.Status code, String text);
    }

    /** One step after another until the group has the member, or not. */
    private void change(MembershipChange.Request wish, long until, Told then) {
        group.replica().report((fate, report) -> {
            if (fate != RaftReplica.Completion.DONE) {
                then.done(code(fate), words(fate));
                return;
            } else if (!RaftReplica.leads(report)) {
                then.done(WireMessages.Status.RETRY, "the leader changes");
                return;
            }
            MembershipChange.Step next = MembershipChange.nextStep(wish, view(report));
            if (next instanceof MembershipChange.Step.Done) {
                forgetPlace(wish);
                then.done(WireMessages.Status.OK, members(report));
            } else if (next instanceof MembershipChange.Step.Rejected refused) {
                then.done(WireMessages.Status.REJECTED, refused.reason());
            } else if (group.loop().now() > until) {
                then.done(
                        WireMessages.Status.RETRY,
                        next instanceof MembershipChange.Step.Wait wait
                                ? wait.reason()
                                : "it takes longer; ask again to go on");
            } else if (next instanceof MembershipChange.Step.Wait) {
                group.loop().after(STEP, () -> change(wish, until, then));
            } else {
                Log.info("store: %s", next);
                group.replica().step(next, report, (stepFate, ok) -> {
                    if (next instanceof MembershipChange.Step.TransferLeadership) {
                        then.done(WireMessages.Status.RETRY, "another member leads now; ask again to go on");
                    } else {
                        // Whether it was taken shows in what the group looks like next.
                        group.loop().after(STEP, () -> change(wish, until, then));
                    }
                });
            }
        });
    }

    private void forgetPlace(MembershipChange.Request wish) {
        if (!wish.add() && group.replica().ledger().memberAddresses().containsKey(wish.name())) {
            group.replica().propose(new Command.SetMemberAddress(wish.name(), ""), (fate, outcome) -> {});
        }
    }

    private void status(Consumer<String> then) {
        if (group.replica() == null || group.ended() != null) {
            then.accept(Json.object(out -> status(out, null)));
        } else {
            group.replica().report((fate, report) -> then.accept(Json.object(out -> status(out, report))));
        }
    }

    private void status(JsonGenerator out, RaftNodeReport report) throws IOException {
        ReplicatedState ledger =
                group.replica() == null ? group.warm() : group.replica().ledger();
        ReplicatedState.Document running = group.adoption().active();
        out.writeStringField("cluster", group.config().cluster());
        out.writeStringField("name", group.config().name());
        out.writeStringField("disk", group.log().announcement().member().diskId());
        out.writeStringField("phase", group.log().announcement().phase().statusName());
        out.writeStringField(
                "leader", group.leader() == null ? "" : group.leader().name());
        out.writeBooleanField("leads", group.isLeader());
        out.writeBooleanField("cut_off", group.adoption().isQuorumLost());
        out.writeStringField(
                "acting",
                group.ended() != null
                        ? "takes no part any more: " + group.ended() + "; "
                                + group.adoption().describe()
                        : group.log().announcement().phase() == ClusterBootstrap.Phase.UNBOUND
                                        || group.log().announcement().phase() == ClusterBootstrap.Phase.BOUND
                                ? "the group is not founded yet: "
                                        + group.founding().pendingReason()
                                : group.adoption().describe());
        out.writeNumberField("revision", running == null ? 0 : running.revision());
        out.writeStringField("digest", running == null ? "" : running.digest());
        out.writeNumberField("adopted_change", running == null ? 0 : running.index());
        out.writeNumberField("applied_change", ledger.appliedIndex());
        if (group.acting() != null) {
            out.writeNumberField("acting_change", group.acting().acting());
            out.writeNumberField("lease_ms", group.acting().leaseMicros() / 1000);
            out.writeStringField("shut_out", group.acting().shutOut());
        }
        group.subscriptions().writeStatus(out);
        out.writeNumberField("sessions", ledger.sessionCount());
        out.writeNumberField("holds", ledger.drains().size());
        out.writeNumberField("listed_nodes", ledger.endpointList().endpoints().size());
        out.writeNumberField("history_bytes", group.log().logBytes());
        out.writeNumberField("snapshot_bytes", group.log().snapshotBytes());
        if (report != null) {
            out.writeNumberField("term", report.getTerm().getTerm());
            out.writeNumberField("committed_change", report.getLog().getCommitIndex());
            out.writeNumberField("last_change", report.getLog().getLastLogOrSnapshotIndex());
            members(out, report);
        }
    }
}
