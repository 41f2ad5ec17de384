package lupinvalve.pg;

import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lupinvalve.core.Backend;
import lupinvalve.core.ClientRequest;
import lupinvalve.core.Frontend;
import lupinvalve.core.HandleTable;
import lupinvalve.core.InvalidStatementException;
import lupinvalve.core.Pooler;
import lupinvalve.core.RefusalReason;
import lupinvalve.core.SqlDialect;
import lupinvalve.core.Statement;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.AnswerBudget;
import lupinvalve.maintenance.ByteBudget;
import lupinvalve.maintenance.FairAdmission;
import lupinvalve.maintenance.FairShare;
import lupinvalve.maintenance.ResourceBudgets;
import lupinvalve.net.ClientEndLog;
import lupinvalve.net.ClientEviction;
import lupinvalve.net.EndReason;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.routing.ServerRole;

/**
 * Serves PostgreSQL clients: takes their connections and simple queries, submits the queries to the pooler, and answers
 * each connection's queries in order, pipelined or not. Core thread only.
 */
public final class PgFront implements Frontend, Link.Events {
    /** The name of this protocol, under which the pooler keeps its backend and db nodes state their address for it. */
    public static final String PROTOCOL = "pg";
    /** Values of 400 KB occur, which are 800 KB as hexadecimal digits. */
    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    /** Answers that one client may have pending. */
    private static final int MAX_PIPELINED_REQUESTS = 64;
    /** With this many answers pending, commands without a db node's answer among them, reading pauses. */
    private static final int PAUSE_READING_REPLIES = 1024;
    /** Of a request's time, the part for which it waits for its client's share is one in this many. */
    private static final int SHARE_WAIT_DIVISOR = 2;
    /** Memory of a pending answer beside its messages. */
    private static final int REPLY_BYTES = 256;
    /** An answer up to this size is kept in any case: an error in its place would save nothing. */
    private static final int SHORT_ANSWER_BYTES = 256;
    /** An aborted row is padded in pieces of this size. */
    private static final int PADDING_BYTES = 16 << 10;
    /**
     * Connections beyond the limit that still have time to send a message, so that they can be answered with an error.
     */
    private static final int MAX_EXCESS_LINKS = 32;
    /** For how long a connection beyond the limit may stay open without having sent a message. */
    private static final long EXCESS_LINK_WAIT_MICROS = 250_000;
    /** Pause before another attempt to close a connection that was in use. */
    private static final long CLOSE_RETRY_MICROS = 20_000;
    /** How long, during a drain or a shutdown, a partly sent message or a partly read answer delays the close. */
    private static final long CLOSE_GRACE_MICROS = 300_000;

    private final Pooler pooler;
    private final HandleTable<Client> clients;
    private final HandleTable<Reply> replies;
    private final int maxClients;
    private final FairAdmission admission;
    /** Whether waiting requests are to be looked at when this turn of the core ends. */
    private boolean isAdmissionDue;

    private final IdentityHashMap<Link, Client> byLink = new IdentityHashMap<>();
    private final ClientEviction<Client> clientEviction;
    /** Connections beyond the limit, and whether an error has been sent on them. */
    private final Map<Link, Boolean> excessLinks = new IdentityHashMap<>();
    /** Clients by the process number and secret key of their BackendKeyData, which a CancelRequest carries. */
    private final Map<Long, Client> byCancelKey = new HashMap<>();

    private final SecureRandom random = new SecureRandom();
    private final ClientEndLog clientEndLog;
    /** Memory for the clients' statements that are not answered yet. */
    private final ByteBudget commandMemory;
    /** Memory for the answers that clients have not read. An answer that finds no room is replaced by an error. */
    private final AnswerBudget answerMemory;

    private final RepeatedWarnings warnings = new RepeatedWarnings();
    /** Answers that are being streamed. */
    private int streamCount;

    private int lastProcessNumber;

    private static final class Client {
        final Link link;
        /** Handle in the table of clients. */
        long handle;

        long cancelKey;
        final long openedAt;
        /** Whether its startup message has been answered, so that commands may come. */
        boolean isStarted;

        boolean hasSentCommand;
        /** Whether another attempt to close the connection is scheduled, as clients are being drained. */
        boolean isCloseScheduled;
        /** Why the connection ends once all pending answers have been written; null where it stays open. */
        EndReason endReason;

        /** Answers that have not been written yet, in the order of their commands. */
        final ArrayDeque<Reply> pendingReplies = new ArrayDeque<>();
        /** Bytes of pending answers that wait for those before them. */
        long waitingBytes;
        /** Bytes of statements that are not answered yet. */
        long statementBytes;

        final FairAdmission.Client admission = new FairAdmission.Client();

        Client(Link link, long openedAt) {
            this.link = link;
            this.openedAt = openedAt;
        }

        /** Whether answers for this client are kept, as it has not read those before them. */
        boolean hasUnreadAnswers() {
            return unreadBytes() > 0;
        }

        /** Bytes of answers that are kept, as it has not read those before them; 0 if it reads at once. */
        long unreadBytes() {
            return waitingBytes + (link.isPeerBehind() ? link.pendingWriteBytes() : 0);
        }
    }

    /** A pending answer on a connection, which is written once all answers before it have been. */
    private static final class Reply {
        final Client client;
        /** The pooler's handle of the request, or -1 for an answer without one. */
        long request = -1;
        /** Handle in the table of replies; identifies the request to the pooler. */
        long ticket;

        int statementBytes;
        /** When the first of the answers that must follow it is due, in Unix microseconds. */
        long neededByMicros = Long.MAX_VALUE;
        /** Whether the request has been submitted to the pooler. */
        boolean isSubmitted;
        /** The messages that end the answer; null until they are known. */
        byte[][] messages;
        /** Of a streamed answer: the db node's connection that it comes from; otherwise null. */
        Backend.StreamSource source;
        /** Of a streamed answer: chunks that have arrived and not been written yet. */
        final ArrayDeque<byte[]> chunks = new ArrayDeque<>(0);
        /** Of a streamed answer: bytes of its row that have yet to arrive, or to be padded. */
        long rowBytesLeft;
        /** Whether any part of a streamed answer has been written. */
        boolean isPartlyWritten;
        /** Whether a streamed answer was aborted and its row is being padded. */
        boolean isPadding;
        /** Bytes of the answer that are kept as it waits for the answers before it. */
        long waitingBytes;

        Reply(Client client) {
            this.client = client;
        }
    }

    /**
     * A frontend without clients.
     *
     * @param maxClients connections held at once; those beyond get error 53300 and are closed
     */
    public PgFront(Pooler pooler, int maxClients) {
        this(pooler, maxClients, maxClients * MAX_PIPELINED_REQUESTS);
    }

    /**
     * A frontend without clients.
     *
     * @param maxClients connections held at once; those beyond get error 53300 and are closed
     * @param maxServed requests that db nodes can serve at once: clients share them
     */
    public PgFront(Pooler pooler, int maxClients, int maxServed) {
        this.pooler = pooler;
        clients = new HandleTable<>(ClientEviction.tableCapacity(maxClients));
        clientEviction = new ClientEviction<>(
                pooler.loop(), clients, maxClients, pooler.settings().limits().maxOpenRequests(), this::retire);
        replies = new HandleTable<>(maxClients * 8);
        this.maxClients = maxClients;
        admission = new FairAdmission(maxServed, pooler::busyRequests);
        clientEndLog = new ClientEndLog(pooler.loop());
        commandMemory = pooler.memory().commands();
        answerMemory = pooler.memory().answers();
    }

    /** A framer for one client's connection. */
    public Framer framer() {
        return new PgFramer(true, MAX_MESSAGE_BYTES);
    }

    // ---- connections ----

    @Override
    public void opened(Link link) {
        clientEviction.makeRoom();
        if (clientEviction.isFull()) {
            // Answered once it has sent a message: closing with unread bytes would reset the connection, and the
            // client might never read the error.
            excessLinks.put(link, false);
            closeExcessLink(link, excessLinks.size() > MAX_EXCESS_LINKS ? 0 : EXCESS_LINK_WAIT_MICROS);
            return;
        }
        Client client = new Client(link, pooler.loop().now());
        client.handle = clients.put(client);
        byLink.put(link, client);
        clientEviction.opened(client);
        closeWhenIdle(client);
    }

    /**
     * Whether connections are to be closed as soon as they have no pending answer, because of a drain or a shutdown.
     */
    private boolean closesIdleConnections() {
        return pooler.clientDrain().closesConnections(pooler.loop().now());
    }

    /**
     * Closes a connection beyond the limit on which nothing has arrived, and tries again while bytes have; a whole
     * message is answered with an error by {@link #messages}, which then closes the connection.
     */
    private void closeExcessLink(Link link, long waitMicros) {
        pooler.loop().after(waitMicros, () -> {
            if (excessLinks.containsKey(link)) {
                link.retire(0, EndReason.PAST_BOUND);
                closeExcessLink(link, CLOSE_RETRY_MICROS);
            }
        });
    }

    @Override
    public void closed(Link link) {
        if (excessLinks.remove(link) != null) {
            clientEndLog.ended(link.reason(), link, 0);
        }
        Client client = byLink.remove(link);
        if (client != null) {
            forget(client, link.reason());
        }
    }

    /** Closes a connection once all that was written to it has been sent. */
    private void end(Client client, EndReason reason) {
        forget(client, reason);
        client.link.finish();
    }

    /**
     * Requests the close of a connection without pending answers; {@link #closed} follows, unless the client sends
     * something first.
     *
     * @param patienceMicros for how long a partly received message or an answer still on its way prevents the close
     * @return whether the close has been requested
     */
    private boolean retire(Client client, long patienceMicros, EndReason reason) {
        return client.pendingReplies.isEmpty() && client.link.retire(patienceMicros, reason);
    }

    /** Removes a client that has disconnected or is being closed, and cancels its requests. */
    private void forget(Client client, EndReason reason) {
        clientEndLog.ended(reason, client.link, client.pendingReplies.size());
        byLink.remove(client.link);
        byCancelKey.remove(client.cancelKey);
        clientEviction.closed(client);
        clients.remove(client.handle);
        admission.removed(client.admission);
        for (Reply reply : client.pendingReplies) {
            removed(reply);
            if (reply.messages == null) {
                if (replies.remove(reply.ticket) == null) {
                    continue;
                }
                release(reply);
                pooler.clientDisconnected(reply.request);
            }
        }
        client.pendingReplies.clear();
    }

    @Override
    public void malformed(Link link, String why) {
        Client client = byLink.get(link);
        if (client != null && client.endReason == null) {
            client.endReason = EndReason.UNREADABLE;
            answer(client, PgMessages.error("FATAL", "08P01", why, null));
        } else if (excessLinks.remove(link) != null) {
            link.write(PgMessages.error("FATAL", "08P01", why, null));
            link.finish();
            clientEndLog.ended(EndReason.UNREADABLE, link, 0);
        }
    }

    @Override
    public void messages(Link link, List<byte[]> messages, long atMicros) {
        Client client = byLink.get(link);
        if (client == null) {
            if (excessLinks.containsKey(link)) {
                rejectExcessLink(link, messages);
            }
            return;
        }
        for (byte[] message : messages) {
            if (client.endReason != null
                    || clients.get(client.handle) != client
                    || client.isStarted && link.hasEnded()) {
                return;
            }
            if (!client.isStarted) {
                takeStartup(client, message);
            } else {
                takeCommand(client, message, atMicros);
            }
        }
    }

    /**
     * Sends the error for too many clients on a connection beyond the limit: once, or once for each statement where the
     * client pipelined several behind its startup message. Then closes the connection.
     */
    private void rejectExcessLink(Link link, List<byte[]> messages) {
        long statements = messages.stream().filter(message -> message[0] == 'Q').count();
        boolean isAnswered = excessLinks.put(link, true);
        for (long errorsLeft = Math.max(statements, isAnswered ? 0 : 1); errorsLeft > 0; errorsLeft--) {
            link.write(PgMessages.error(
                    "FATAL",
                    "53300",
                    "too many clients",
                    retryAdvice(pooler.settings().limits().maxRetryAfterMicros())));
        }
        // Where more has been read from the socket, it comes in the next call and is rejected as well.
        if (link.finishIfAllProcessed()) {
            excessLinks.remove(link);
            clientEndLog.ended(EndReason.PAST_BOUND, link, 0);
        }
    }

    /** Takes an untyped first message: a startup message, SSLRequest, GSSENCRequest or CancelRequest. */
    private void takeStartup(Client client, byte[] message) {
        int code = PgFramer.int32(message, 4);
        if (code == PgFramer.SSL_REQUEST_CODE || code == PgFramer.GSS_REQUEST_CODE) {
            client.link.write(PgMessages.ENCRYPTION_REFUSED);
        } else if (code == PgFramer.CANCEL_REQUEST_CODE) {
            Client target = message.length == 16
                    ? byCancelKey.get(
                            (long) PgFramer.int32(message, 8) << 32 | PgFramer.int32(message, 12) & 0xFFFFFFFFL)
                    : null;
            end(client, EndReason.CANCEL_REQUEST);
            if (target != null) {
                cancel(target);
            }
        } else if (code >> 16 != 3) {
            client.endReason = EndReason.UNREADABLE;
            answer(client, PgMessages.error("FATAL", "0A000", "protocol version 3 only", null));
        } else {
            client.isStarted = true;
            client.cancelKey = (long) ++lastProcessNumber << 32 | random.nextInt() & 0xFFFFFFFFL;
            byCancelKey.put(client.cancelKey, client);
            client.link.write(
                    PgMessages.AUTHENTICATION_OK,
                    PgMessages.backendKeyData(client.cancelKey),
                    PgMessages.textMessage('S', "server_version", "15.0"),
                    PgMessages.textMessage('S', "client_encoding", "UTF8"),
                    PgMessages.textMessage('S', "standard_conforming_strings", "on"),
                    PgMessages.textMessage('S', "integer_datetimes", "on"),
                    PgMessages.READY_FOR_QUERY);
        }
    }

    /**
     * Cancels the oldest request that the client waits for: attempts in flight are abandoned, no further ones start,
     * and the request is answered with an error. Does nothing where that request is already answered; one that a db
     * node has served gets its answer.
     */
    private void cancel(Client client) {
        Reply reply = client.pendingReplies.peek();
        if (reply == null || reply.messages != null || reply.isPadding || pooler.endTokenWait(reply.request)) {
            return;
        }
        pooler.clientDisconnected(reply.request);
        byte[] error = PgMessages.error("ERROR", "57014", "canceled at its client's request", null);
        if (reply.source != null) {
            abortStream(reply, error);
        } else {
            complete(reply.ticket, error);
        }
    }

    private void takeCommand(Client client, byte[] message, long atMicros) {
        clientEviction.busy(client);
        client.hasSentCommand = true;
        switch (message[0]) {
            case 'Q' -> takeQuery(client, message, atMicros);
            case 'X' -> {
                client.endReason = EndReason.GOODBYE;
                flush(client);
            }
            case 'S' -> answer(client, PgMessages.READY_FOR_QUERY);
            case 'P', 'B', 'E', 'D', 'C', 'F', 'H', 'd', 'c', 'f' -> {
                client.endReason = EndReason.UNREADABLE;
                answer(client, PgMessages.error("FATAL", "0A000", "simple queries only", null));
            }
            default -> {
                client.endReason = EndReason.UNREADABLE;
                answer(client, PgMessages.error("FATAL", "08P01", "unknown message type", null));
            }
        }
    }

    private void takeQuery(Client client, byte[] message, long atMicros) {
        if (message[message.length - 1] != 0) {
            client.endReason = EndReason.UNREADABLE;
            answer(client, PgMessages.error("FATAL", "08P01", "a query ends with a zero byte", null));
            return;
        }
        byte[] text = Arrays.copyOfRange(message, 5, message.length - 1);
        String keyword = firstKeyword(text);
        if (keyword.isEmpty() && !pooler.clientDrain().acceptsClients()) {
            answer(
                    client,
                    PgMessages.error("ERROR", "57P03", "draining: clients are sent away", null),
                    PgMessages.READY_FOR_QUERY);
        } else if (keyword.isEmpty()) {
            answer(client, PgMessages.EMPTY_QUERY_RESPONSE, PgMessages.READY_FOR_QUERY);
        } else if (keyword.equals("SET") || keyword.equals("RESET") || keyword.equals("DISCARD")) {
            answer(client, PgMessages.textMessage('C', keyword), PgMessages.READY_FOR_QUERY);
        } else {
            submit(client, new Statement(text, SqlDialect.POSTGRESQL), atMicros);
        }
    }

    private void submit(Client client, Statement statement, long atMicros) {
        if (statement.isCut()) {
            warnings.warn("a statement ends within a literal, a quoted name or a comment");
        }
        try {
            ClientRequest request =
                    statement.toRequest(pooler.settings().classes(), atMicros, null, PROTOCOL, statement);
            answersNeededBy(client, request.expiresAtMicros());
            if (pooler.hasOpenRequest(request.id())) {
                throw new InvalidStatementException("field id names an open request");
            }
            Optional<RefusalReason> refusal = refusal(client, statement);
            if (refusal.isPresent()) {
                pooler.refused(request.classIndex(), refusal.get());
                answer(client, rejection(pooler.settings().limits().maxRetryAfterMicros()), PgMessages.READY_FOR_QUERY);
                return;
            }
            Reply reply = new Reply(client);
            reply.statementBytes = statement.size();
            client.statementBytes += statement.size();
            add(reply);
            reply.ticket = replies.put(reply);
            admission.request(client.admission, () -> start(reply, request));
            if (!reply.isSubmitted) {
                long waitMicros = (request.expiresAtMicros() - pooler.loop().now()) / SHARE_WAIT_DIVISOR;
                pooler.loop().after(waitMicros, () -> refuseWaiting(reply, request));
            }
        } catch (InvalidStatementException e) {
            answer(client, PgMessages.error("ERROR", "42601", e.getMessage(), null), PgMessages.READY_FOR_QUERY);
        }
    }

    /** Submits a request that has its share; false if it has ended while it waited for that. */
    private boolean start(Reply reply, ClientRequest request) {
        if (replies.get(reply.ticket) != reply) {
            return false;
        }
        if (pooler.hasOpenRequest(request.id())) {
            complete(reply.ticket, PgMessages.error("ERROR", "42601", "field id names an open request", null));
            return false;
        }
        reply.isSubmitted = true;
        reply.request = pooler.submit(this, reply.ticket, request);
        pooler.answerNeededBy(reply.request, reply.neededByMicros);
        return true;
    }

    /** The pending answers of a client must not be held back beyond a time, as a further one that follows is due. */
    private void answersNeededBy(Client client, long deadlineMicros) {
        if (!pooler.holdsAnswers()) {
            return;
        }
        for (Reply reply : client.pendingReplies) {
            reply.neededByMicros = Math.min(reply.neededByMicros, deadlineMicros);
            pooler.answerNeededBy(reply.request, reply.neededByMicros);
        }
    }

    /** Rejects a request that its client's share has kept waiting, while the client can still repeat it. */
    private void refuseWaiting(Reply reply, ClientRequest request) {
        if (replies.get(reply.ticket) == reply && !reply.isSubmitted) {
            pooler.refused(request.classIndex(), RefusalReason.SHARE_TAKEN);
            complete(reply.ticket, rejection(pooler.settings().limits().maxRetryAfterMicros()));
        }
    }

    /** A submitted request has ended, so that others may have their share. */
    private void admissionEnded(Reply reply) {
        if (reply.isSubmitted) {
            admission.ended(reply.client.admission);
        }
        if (admission.hasWaiting() && !isAdmissionDue) {
            isAdmissionDue = true;
            pooler.loop().runAtTurnEnd(() -> {
                isAdmissionDue = false;
                admission.admitWaiting();
            });
        }
    }

    /** Why a client's request is rejected at once; if it is not, the memory for its statement has been reserved. */
    private Optional<RefusalReason> refusal(Client client, Statement statement) {
        if (client.pendingReplies.size() >= MAX_PIPELINED_REQUESTS) {
            return Optional.of(RefusalReason.TOO_MANY_AT_ONCE);
        } else if (replies.isFull()
                || !FairShare.allows(
                        client.pendingReplies.size(), 1, replies.size() + maxClients, replies.capacity())) {
            return Optional.of(RefusalReason.TABLE_FULL);
        } else if (client.link.mayHaveLeft()) {
            return Optional.of(RefusalReason.INPUT_UNREAD);
        } else if (mustReadFirst(client)) {
            return Optional.of(RefusalReason.ANSWERS_UNREAD);
        }
        return commandMemory.reserve(statement.size(), client.statementBytes)
                ? Optional.empty()
                : Optional.of(RefusalReason.NO_COMMAND_MEMORY);
    }

    /** Whether a client gets no further request served until it has read more of its answers. */
    private boolean mustReadFirst(Client client) {
        if (!answerMemory.isNearLimit() || !client.hasUnreadAnswers()) {
            return false;
        }
        warnings.warn("requests are refused as their clients have not read earlier answers");
        return true;
    }

    private static String firstKeyword(byte[] text) {
        int from = 0;
        while (from < text.length && (text[from] <= ' ' || text[from] == ';')) {
            from++;
        }
        int to = from;
        while (to < text.length && to - from < 16 && text[to] > ' ' && text[to] != ';') {
            to++;
        }
        return new String(text, from, to - from, java.nio.charset.StandardCharsets.ISO_8859_1)
                .toUpperCase(java.util.Locale.ROOT);
    }

    // ---- answers ----

    /** The error for a rejected request, which has not run. */
    private static byte[] rejection(long retryAfterMicros) {
        return PgMessages.error("ERROR", "53300", "refused: a repeat does no harm", retryAdvice(retryAfterMicros));
    }

    /** The error's detail: milliseconds after which to retry, rounded up; null for no advice. */
    private static String retryAdvice(long retryAfterMicros) {
        return retryAfterMicros > 0 ? Long.toString((retryAfterMicros + 999) / 1000) : null;
    }

    @Override
    public void served(long ticket, Object answer, long position, ServerRole role) {
        complete(ticket, (byte[][]) answer);
    }

    @Override
    public void rejected(long ticket, long retryAfterMicros) {
        complete(ticket, rejection(retryAfterMicros));
    }

    @Override
    public void failed(long ticket) {
        complete(ticket, failure());
    }

    /** The error for a request that may have run. */
    private static byte[] failure() {
        return PgMessages.error("ERROR", "58000", "failed: it may have run", null);
    }

    @Override
    public boolean isClientDisconnected(long ticket) {
        Reply reply = replies.get(ticket);
        return reply == null || reply.client.link.hasEnded();
    }

    @Override
    public boolean mayHaveLeft(long ticket) {
        Reply reply = replies.get(ticket);
        return reply == null || reply.client.link.mayHaveLeft();
    }

    @Override
    public String clientLabel(long ticket) {
        Reply reply = replies.get(ticket);
        return reply == null ? Frontend.super.clientLabel(ticket) : reply.client.link.label();
    }

    @Override
    public long unreadBytes(long ticket) {
        Reply reply = replies.get(ticket);
        return reply == null ? 0 : reply.client.link.pendingWriteBytes();
    }

    @Override
    public void answerStarted(long ticket, Object first, Backend.StreamSource source) {
        Reply reply = replies.get(ticket);
        if (reply != null) {
            reply.source = source;
            streamCount++;
            byte[][] messages = (byte[][]) first;
            byte[] row = messages[messages.length - 1];
            reply.rowBytesLeft = 1L + PgFramer.int32(row, 1) - row.length;
            takeChunks(reply, messages);
        }
    }

    @Override
    public void answerChunk(long ticket, byte[] chunk) {
        Reply reply = replies.get(ticket);
        if (reply != null && !reply.isPadding) {
            reply.rowBytesLeft -= chunk.length;
            takeChunks(reply, chunk);
        }
    }

    /** Takes chunks of a streamed answer, which is aborted if it must wait and there is no room for it. */
    private void takeChunks(Reply reply, byte[]... chunks) {
        Client client = reply.client;
        long size = size(chunks);
        boolean mustWait = client.pendingReplies.peek() != reply;
        if (mustWait && !hasRoom(client, size)) {
            // The rest of it is read and dropped.
            reply.source.pauseReading(false);
            abortStream(reply, failure());
            return;
        }
        reply.chunks.addAll(Arrays.asList(chunks));
        addWaiting(reply, size);
        writeChunks(reply);
    }

    @Override
    public boolean isAnswerPaused(long ticket) {
        Reply reply = replies.get(ticket);
        return reply != null
                && (reply.client.pendingReplies.peek() != reply || reply.client.link.pendingWriteBytes() > 0);
    }

    @Override
    public void answerAborted(long ticket) {
        Reply reply = replies.get(ticket);
        if (reply != null && !reply.isPadding) {
            abortStream(reply, failure());
        }
    }

    /**
     * Ends a streamed answer, whose row can't be completed, with an error. A partly written row is first padded up to
     * the length in its header: the error makes the client discard the row, and the answers after it can still be sent
     * on the same connection.
     */
    private void abortStream(Reply reply, byte[] error) {
        reply.chunks.clear();
        addWaiting(reply, -reply.waitingBytes);
        reply.source = null;
        streamCount--;
        reply.isPadding = true;
        padRow(reply, error);
    }

    /** Writes padding as fast as the client reads, then the error. */
    private void padRow(Reply reply, byte[] error) {
        Link link = reply.client.link;
        while (reply.isPartlyWritten
                && reply.rowBytesLeft > 0
                && link.pendingWriteBytes() <= ResourceBudgets.streamBufferBytes(streamCount)) {
            byte[] padding = new byte[(int) Math.min(PADDING_BYTES, reply.rowBytesLeft)];
            link.write(padding);
            reply.rowBytesLeft -= padding.length;
        }
        if (reply.isPartlyWritten && reply.rowBytesLeft > 0) {
            link.whenPendingAtMost(ResourceBudgets.streamBufferBytes(streamCount) / 2, () -> {
                if (replies.get(reply.ticket) == reply) {
                    padRow(reply, error);
                }
            });
        } else {
            complete(reply.ticket, error);
        }
    }

    /**
     * Writes the chunks of a streamed answer that have arrived, if all answers before it have been written, and pauses
     * reading from the db node while the client has too much unread.
     */
    private void writeChunks(Reply reply) {
        Client client = reply.client;
        if (client.pendingReplies.peek() != reply) {
            reply.source.pauseReading(true);
            return;
        }
        byte[][] chunks = reply.chunks.toArray(new byte[0][]);
        reply.chunks.clear();
        addWaiting(reply, -reply.waitingBytes);
        reply.isPartlyWritten |= chunks.length > 0;
        client.link.write(chunks);
        long bufferBytes = ResourceBudgets.streamBufferBytes(streamCount);
        boolean isFull = client.link.pendingWriteBytes() > bufferBytes;
        reply.source.pauseReading(isFull);
        if (isFull) {
            client.link.whenPendingAtMost(bufferBytes / 2, () -> {
                if (replies.get(reply.ticket) == reply) {
                    writeChunks(reply);
                }
            });
        }
    }

    /** Subtracts from the totals what a request counted, once it is answered or dropped. */
    private void release(Reply reply) {
        commandMemory.add(-reply.statementBytes);
        reply.client.statementBytes -= reply.statementBytes;
        admissionEnded(reply);
        streamCount -= reply.source != null ? 1 : 0;
    }

    /** Adds a pending answer behind the others of its client. */
    private void add(Reply reply) {
        commandMemory.add(REPLY_BYTES);
        reply.client.pendingReplies.add(reply);
    }

    /** Subtracts what a pending answer counted, once it is being written or dropped. */
    private void removed(Reply reply) {
        commandMemory.add(-REPLY_BYTES);
        addWaiting(reply, -reply.waitingBytes);
    }

    /** Counts bytes of an answer that wait for the answers before it; releases them if the number is negative. */
    private void addWaiting(Reply reply, long bytes) {
        reply.waitingBytes += bytes;
        reply.client.waitingBytes += bytes;
        answerMemory.addUnread(bytes);
    }

    private static long size(byte[][] parts) {
        return Arrays.stream(parts).mapToLong(part -> part.length).sum();
    }

    /** Whether there is room for an answer of this size until its client has read it. */
    private boolean hasRoom(Client client, long size) {
        boolean hasRoom = answerMemory.hasRoom(size, client.unreadBytes());
        if (!hasRoom) {
            warnings.warn("answers are replaced by errors as clients have not read earlier ones");
        }
        return hasRoom;
    }

    /** Ends a request's answer with the given messages and ReadyForQuery, and writes it if it is next in order. */
    private void complete(long ticket, byte[]... messages) {
        Reply reply = replies.remove(ticket);
        if (reply != null) {
            release(reply);
            long size = size(messages);
            boolean isKept = size <= SHORT_ANSWER_BYTES || hasRoom(reply.client, size);
            byte[][] sent = isKept ? messages : new byte[][] {failure()};
            reply.messages = Arrays.copyOf(sent, sent.length + 1);
            reply.messages[sent.length] = PgMessages.READY_FOR_QUERY;
            addWaiting(reply, size(sent));
            flush(reply.client);
        }
    }

    /** Answers a command that needs no db node, after all answers before it. */
    private void answer(Client client, byte[]... messages) {
        if (commandMemory.isExhausted() && client.pendingReplies.size() > MAX_PIPELINED_REQUESTS) {
            forget(client, EndReason.SENDS_TOO_FAR_AHEAD);
            client.link.abort(EndReason.SENDS_TOO_FAR_AHEAD);
            return;
        }
        Reply reply = new Reply(client);
        reply.messages = messages;
        addWaiting(reply, size(messages));
        add(reply);
        if (client.pendingReplies.size() > PAUSE_READING_REPLIES) {
            client.link.pauseReading(true);
        }
        flush(client);
    }

    /**
     * Writes pending answers in order, as far as they are known and the client reads; then closes the connection if it
     * is to end.
     */
    private void flush(Client client) {
        while (!client.pendingReplies.isEmpty() && client.pendingReplies.peek().messages != null) {
            if (client.link.isWriteBacklogged()) {
                client.link.whenNotBacklogged(() -> flush(client));
                return;
            }
            Reply reply = client.pendingReplies.poll();
            removed(reply);
            if (!reply.chunks.isEmpty()) {
                client.link.write(reply.chunks.toArray(new byte[0][]));
            }
            client.link.write(reply.messages);
        }
        if (client.pendingReplies.size() <= PAUSE_READING_REPLIES / 2) {
            client.link.pauseReading(false);
        }
        if (!client.pendingReplies.isEmpty() && client.pendingReplies.peek().source != null) {
            writeChunks(client.pendingReplies.peek());
        }
        if (!client.pendingReplies.isEmpty() || clients.get(client.handle) != client) {
            return;
        }
        if (client.endReason != null) {
            end(client, client.endReason);
        } else if (closesIdleConnections()) {
            closeWhenIdle(client);
        } else {
            clientEviction.idle(client);
        }
    }

    /** During a drain or a shutdown, closes a connection once its client is not using it; retries until then. */
    private void closeWhenIdle(Client client) {
        if (client.isCloseScheduled
                || !closesIdleConnections()
                || clients.get(client.handle) != client
                || !client.pendingReplies.isEmpty()) {
            return;
        }
        // The first request of a connection that was just opened is probably on its way.
        boolean isFresh = !client.hasSentCommand && pooler.loop().now() - client.openedAt < CLOSE_GRACE_MICROS;
        if (!isFresh) {
            retire(client, CLOSE_GRACE_MICROS, EndReason.SENT_AWAY);
        }
        // Repeated until it has ended: its client may send something meanwhile, which keeps it open.
        client.isCloseScheduled = true;
        pooler.loop().after(CLOSE_RETRY_MICROS, () -> {
            client.isCloseScheduled = false;
            closeWhenIdle(client);
        });
    }

    /** Closes each connection as soon as it has no pending answer, for as long as the drain or shutdown lasts. */
    public void close() {
        clients.forEach(this::closeWhenIdle);
    }

    /** The number of open connections, those beyond the limit included. */
    public int open() {
        return clients.size() + excessLinks.size();
    }
}
