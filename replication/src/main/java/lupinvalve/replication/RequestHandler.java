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
 * Serves the requests of operators and of other members if this member leads, and forwards them to the leader if not.
 * On the group's thread.
 */
final class RequestHandler {
    /** A member's request for a lease. */
    static final String LEASE = "lease";
    /** A proposal that another member forwards. */
    static final String PROPOSE = "propose";

    /** Timeout of a forwarded request, without the time for which the leader itself waits. */
    static final long FORWARD_TIMEOUT_MICROS = 3_000_000;

    /** Prefix of a forwarded request's name; such a request is not forwarded again. */
    private static final String FORWARDED_PREFIX = ">";

    private static final String STRICT = "strict";
    private static final int LEASE_SUBSCRIBERS_INDEX_ARGUMENT = 3;
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
     * @param caller the caller's name, checked against its certificate if TLS is configured
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

    /** Whether the response to {@code get} is to have the document's secrets, unmasked. */
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
        // Validated before it is proposed, so that a majority commits only a configuration that can be served with.
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

    /** Responds to a request for a lease with its duration in microseconds, or the reason why it is denied. */
    private void lease(WireMessages.Request request, Responder responder) throws InvalidRequestException {
        // A member of an earlier version does not send this index, and has no subscribers.
        long subscribersIndex = request.arguments().size() > LEASE_SUBSCRIBERS_INDEX_ARGUMENT
                ? Long.parseLong(argument(request, LEASE_SUBSCRIBERS_INDEX_ARGUMENT))
                : Long.MAX_VALUE;
        LeaseManager.Renewal renewal = member.leaseHolder() == null
                ? new LeaseManager.Renewal(0, "audit is off at the leader")
                : member.leaseHolder()
                        .grantor()
                        .grant(
                                argument(request, 0),
                                Long.parseLong(argument(request, 1)),
                                argument(request, 2),
                                subscribersIndex);
        byte[] lastChangeIndex = new Cbor.Writer()
                .number(member.subscriptions().lastChangeIndex())
                .toByteArray();
        if (renewal.durationMicros() > 0) {
            responder.send(WireMessages.Status.OK, Long.toString(renewal.durationMicros()), lastChangeIndex);
        } else {
            responder.send(
                    renewal.reason().isEmpty() ? WireMessages.Status.RETRY : WireMessages.Status.REJECTED,
                    renewal.reason(),
                    lastChangeIndex);
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
