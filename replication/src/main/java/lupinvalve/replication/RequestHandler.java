package lupinvalve.replication;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lupinvalve.audit.LeaseManager;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Serves the requests of operators and of other members: here where this member leads, and otherwise forwarded to the
 * leader. On the group's thread.
 */
final class RequestHandler {
    /** A member's request for a lease. */
    static final String LEASE = "lease";
    /** A proposal that another member forwards. */
    static final String PROPOSE = "propose";

    /** How long a forwarded request may take, without what the leader itself waits for. */
    static final long FORWARD_TIMEOUT_MICROS = 3_000_000;

    /** What the name of a forwarded request begins with: it is not forwarded again. */
    private static final String FORWARDED_PREFIX = ">";

    private static final String STRICT = "strict";
    private static final int LEASE_FOLLOWERS_ARGUMENT = 3;
    private static final int DRAIN_STRICT_ARGUMENT = 3;

    private final MemberRuntime member;
    private final StatusReport status;
    private final MembershipChanges membership;
    private final StrictChanges strictChanges;

    RequestHandler(MemberRuntime member) {
        this.member = member;
        status = new StatusReport(member);
        membership = new MembershipChanges(member, status);
        strictChanges = new StrictChanges(member);
    }

    /**
     * Serves a request; {@code channel} gets exactly one response.
     *
     * @param caller the name that the caller has shown to be its own
     */
    void handle(String caller, WireMessages.Request request, Consumer<WireMessages.Response> channel) {
        Responder responder = new Responder(request.id(), channel);
        try {
            if (request.name().equals(SubscriptionServer.CALL)) {
                member.subscriptions().onRequest(caller, request, channel);
            } else if (request.name().equals("status")) {
                status.status(responder::ok);
            } else if (member.replica() == null || member.termination() != null) {
                responder.retry(
                        member.termination() != null
                                ? "this member takes no part any more: "
                                        + member.termination().reason()
                                : "the group is not founded yet: "
                                        + member.bootstrap().pendingReason());
            } else if (member.replica().isLeader()) {
                serve(request, responder);
            } else if (member.leader() == null || request.name().startsWith(FORWARDED_PREFIX)) {
                responder.retry("no majority is in touch: no leader");
            } else {
                forward(request, responder);
            }
        } catch (IOException | IllegalArgumentException e) {
            responder.reject(String.valueOf(e.getMessage()));
        }
    }

    private void forward(WireMessages.Request request, Responder responder) {
        String name = request.name();
        boolean membershipChange = name.equals("add") || name.equals("remove");
        long leaderMicros = membershipChange ? MembershipChanges.TIMEOUT_MICROS : StrictChanges.TIMEOUT_MICROS;
        member.peers()
                .call(
                        member.leader(),
                        name.equals(PROPOSE) ? name : FORWARDED_PREFIX + name,
                        request.arguments(),
                        FORWARD_TIMEOUT_MICROS + leaderMicros,
                        response -> responder.send(response.status(), response.text(), response.content()));
    }

    private void serve(WireMessages.Request request, Responder responder) throws IOException {
        RaftReplica replica = member.replica();
        String name = request.name().startsWith(FORWARDED_PREFIX)
                ? request.name().substring(FORWARDED_PREFIX.length())
                : request.name();
        switch (name) {
            case PROPOSE -> replica.propose(
                    CommandCodec.decode(request.arguments().get(0)), responder.whenForwardedCommitted());
            case "get" -> replica.readBarrier(
                    responder.whenCompleted(ignored -> status.document(wantsSecrets(request))));
            case "put" -> put(request, responder);
            case "hold" -> replica.propose(
                    new Command.StartDrain(
                            target(request), argument(request, 2), member.loop().now()),
                    strictIfRequested(request, DRAIN_STRICT_ARGUMENT, responder).whenCommitted());
            case "release" -> replica.propose(
                    new Command.EndDrain(target(request)),
                    strictIfRequested(request, 2, responder).whenCommitted());
            case LEASE -> lease(request, responder);
            case "audit" -> audit(request, responder);
            case "holds" -> replica.readBarrier(responder.whenCompleted(ignored -> status.drains()));
            case "members" -> replica.report(responder.whenCompleted(status::members));
            case "add", "remove" -> membership.start(
                    new MembershipChange.Request(name.equals("add"), argument(request, 0)), responder);
            case "snapshot" -> replica.snapshot(responder.whenCompleted(status::snapshot));
            default -> responder.reject("no such call: " + name);
        }
    }

    private static String argument(WireMessages.Request request, int position) throws InvalidRequestException {
        if (request.arguments().size() <= position) {
            throw new InvalidRequestException(request.name() + " lacks an argument");
        }
        return new String(request.arguments().get(position), StandardCharsets.UTF_8);
    }

    /** Whether an operator asks for a document with its secrets. */
    private static boolean wantsSecrets(WireMessages.Request request) {
        return !request.arguments().isEmpty() && request.arguments().get(0).length > 0;
    }

    private static Command.DrainTarget target(WireMessages.Request request) throws InvalidRequestException {
        String kind = argument(request, 0);
        if (!kind.equals("node") && !kind.equals("pooler")) {
            throw new InvalidRequestException("what is held is a node or a pooler, not a " + kind);
        }
        return new Command.DrainTarget(
                kind.equals("node") ? Command.TargetKind.NODE : Command.TargetKind.POOLER, argument(request, 1));
    }

    private Responder strictIfRequested(WireMessages.Request request, int position, Responder responder)
            throws InvalidRequestException {
        boolean strict = request.arguments().size() > position
                && argument(request, position).equals(STRICT);
        return strict ? strictChanges.wrap(responder) : responder;
    }

    private void put(WireMessages.Request request, Responder responder) throws InvalidRequestException {
        long expectedRevision = Long.parseLong(argument(request, 0));
        byte[] document = request.arguments().get(1);
        // Checked before it is proposed: what a majority accepts is a configuration that can be served on.
        String error = member.listener().validationError(document);
        ReplicatedState.Document current = member.replica().state().document();
        if (error == null) {
            error = member.listener().transitionError(current == null ? null : current.content(), document);
        }
        if (error != null) {
            responder.reject(error);
            return;
        }
        member.replica()
                .propose(
                        new Command.PutDocument(expectedRevision, document),
                        strictIfRequested(request, 2, responder).whenCommitted());
    }

    /** Answers a request for a lease: its length, or why there is none. */
    private void lease(WireMessages.Request request, Responder responder) throws InvalidRequestException {
        // A member of an earlier version has no subscribers.
        long followersIndex = request.arguments().size() > LEASE_FOLLOWERS_ARGUMENT
                ? Long.parseLong(argument(request, LEASE_FOLLOWERS_ARGUMENT))
                : Long.MAX_VALUE;
        LeaseManager.Renewal renewal = member.leaseHolder() == null
                ? new LeaseManager.Renewal(0, "audit is off at the leader")
                : member.leaseHolder()
                        .grantor()
                        .grant(
                                argument(request, 0),
                                Long.parseLong(argument(request, 1)),
                                argument(request, 2),
                                followersIndex);
        byte[] relevantIndex = new Cbor.Writer()
                .number(member.subscriptions().lastChangeIndex())
                .toByteArray();
        if (renewal.durationMicros() > 0) {
            responder.send(WireMessages.Status.OK, Long.toString(renewal.durationMicros()), relevantIndex);
        } else {
            responder.send(
                    renewal.reason().isEmpty() ? WireMessages.Status.RETRY : WireMessages.Status.REJECTED,
                    renewal.reason(),
                    relevantIndex);
        }
    }

    private void audit(WireMessages.Request request, Responder responder) throws InvalidRequestException {
        List<String> query = new ArrayList<>();
        for (int i = 0; i < request.arguments().size(); i++) {
            query.add(argument(request, i));
        }
        if (query.equals(List.of("stragglers"))) {
            if (member.leaseHolder() == null) {
                throw new InvalidRequestException("audit is off at the leader");
            }
            member.replica()
                    .report(responder.whenCompleted(report -> status.excludedPoolers(
                            member.leaseHolder().grantor().excludedPoolers(strictChanges.voters(report)))));
            return;
        }
        member.replica().readBarrier((completion, ignored) -> {
            if (completion == RaftReplica.Completion.DONE) {
                answerAudit(query, responder);
            } else {
                responder.fail(completion);
            }
        });
    }

    private void answerAudit(List<String> query, Responder responder) {
        String answer;
        try {
            answer = AuditQueries.answer(
                    AuditQueries.history(member.replica().state().auditEntries().values()), query);
        } catch (InvalidRequestException e) {
            responder.reject(e.getMessage());
            return;
        }
        responder.ok(answer);
    }
}
