package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lupinvalve.core.ClientRequest;
import lupinvalve.core.Frontend;
import lupinvalve.core.HandleTable;
import lupinvalve.core.InvalidStatementException;
import lupinvalve.core.Pooler;
import lupinvalve.core.RefusalReason;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.AnswerBudget;
import lupinvalve.maintenance.ByteBudget;
import lupinvalve.net.ClientEndLog;
import lupinvalve.net.ClientEviction;
import lupinvalve.net.EndReason;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.routing.ServerRole;

/**
 * Serves MySQL clients: takes their connections and commands, submits requests to the pooler, and sends its answers
 * back in the order of the commands. {@link MysqlLogin} handles logins, and {@link PreparedStatements} the commands on
 * prepared statements that need no db node. Core thread only.
 */
public final class MysqlFront implements Frontend, Link.Events {
    /** The name of this protocol, under which the pooler keeps its backend and db nodes state their address for it. */
    public static final String PROTOCOL = "mysql";

    private static final int MAX_PACKET_BYTES = 1 << 20;
    /** Commands of one client that may wait until those before them have been answered. */
    private static final int MAX_WAITING_COMMANDS = 64;
    /** Pause before another attempt to close a connection that was in use. */
    private static final long CLOSE_RETRY_MICROS = 20_000;
    /** How long, during a drain or a shutdown, a partly sent packet or a partly read answer delays the close. */
    private static final long CLOSE_GRACE_MICROS = 300_000;

    private static final int REQUEST_FAILED = 1105;
    private static final int TOO_MANY_CONNECTIONS = 1040;
    private static final int UNKNOWN_COMMAND = 1047;
    private static final int PARSE_ERROR = 1064;
    private static final int EMPTY_QUERY = 1065;
    private static final int MALFORMED_PACKET = 1153;
    private final Pooler pooler;
    private final MysqlLogin login;
    private final WaitingCommands waitingCommands;
    private final HandleTable<MysqlClient> clients;
    private final Map<Link, MysqlClient> byLink = new IdentityHashMap<>();
    private final ClientEviction<MysqlClient> clientEviction;
    private final ClientEndLog clientEndLog;
    /** Memory for the answers that clients have not read. An answer that finds no room is replaced by an error. */
    private final AnswerBudget answerMemory;

    private final RepeatedWarnings warnings = new RepeatedWarnings();
    /** Memory for the commands of clients that are not answered yet. */
    private final ByteBudget commandMemory;

    /**
     * A frontend without clients.
     *
     * @param maxClients connections held at once; those beyond get error 1040 and are closed
     * @param user the name of the one account that clients log in with
     */
    public MysqlFront(Pooler pooler, int maxClients, String user, String password) {
        this.pooler = pooler;
        login = new MysqlLogin(user, password);
        waitingCommands = new WaitingCommands(pooler.settings().classes());
        clients = new HandleTable<>(ClientEviction.tableCapacity(maxClients));
        clientEviction = new ClientEviction<>(
                pooler.loop(), clients, maxClients, pooler.settings().limits().maxOpenRequests(), this::retire);
        clientEndLog = new ClientEndLog(pooler.loop());
        answerMemory = pooler.memory().answers();
        commandMemory = pooler.memory().commands();
    }

    /** Changes the account; clients that are logged in stay connected. */
    public void account(String newUser, String newPassword) {
        login.account(newUser, newPassword);
    }

    /** A framer for one client's connection. */
    public Framer framer() {
        return new MysqlFramer(MAX_PACKET_BYTES);
    }

    // ---- connections ----

    @Override
    public void opened(Link link) {
        clientEviction.makeRoom();
        if (clientEviction.isFull()) {
            link.write(new PacketWriter()
                    .int1(0xFF)
                    .fixedInt(TOO_MANY_CONNECTIONS, 2)
                    .text("Too many connections")
                    .packet(0));
            link.finish();
            clientEndLog.ended(EndReason.PAST_BOUND, link, 0);
            return;
        }
        MysqlClient client = new MysqlClient(link, pooler.memory().preparedStatements());
        client.handle = clients.put(client);
        byLink.put(link, client);
        clientEviction.opened(client);
        if (closesIdleConnections()) {
            pooler.loop().after(CLOSE_GRACE_MICROS, () -> closeWhenIdle(client));
        }
        login.sendHandshake(client);
    }

    @Override
    public void closed(Link link) {
        MysqlClient client = byLink.get(link);
        if (client != null) {
            forget(client, link.reason());
        }
    }

    /** Removes a client that has disconnected or is being closed, and cancels its request. */
    private void forget(MysqlClient client, EndReason reason) {
        clientEndLog.ended(reason, client.link, client.answersDue());
        byLink.remove(client.link);
        clients.remove(client.handle);
        clientEviction.closed(client);
        dropWaitingCommands(client);
        client.preparedStatements.clear();
        releaseOpenRequest(client);
        if (client.hasOpenRequest) {
            pooler.clientDisconnected(client.requestHandle);
        }
    }

    private void dropWaitingCommands(MysqlClient client) {
        commandMemory.add(-client.waitingBytes);
        client.dropWaiting();
    }

    private void releaseOpenRequest(MysqlClient client) {
        commandMemory.add(-client.openRequestBytes);
        client.openRequestBytes = 0;
    }

    /** Closes a connection once all that was written to it has been sent. */
    private void end(MysqlClient client, EndReason reason) {
        if (clients.get(client.handle) == client) {
            forget(client, reason);
            client.link.finish();
        }
    }

    /**
     * Requests the close of a connection without pending answers; {@link #closed} follows, unless the client sends
     * something first.
     *
     * @param patienceMicros for how long a partly received packet or an answer still on its way prevents the close
     * @return whether the close has been requested
     */
    private boolean retire(MysqlClient client, long patienceMicros, EndReason reason) {
        return !client.isAnswerPending() && client.link.retire(patienceMicros, reason);
    }

    @Override
    public void malformed(Link link, String why) {
        MysqlClient client = byLink.get(link);
        if (client != null && client.protocolError == null) {
            client.protocolError = why;
            endAfterProtocolError(client);
        }
    }

    /** Ends a connection whose client violated the protocol, once all commands before that have been answered. */
    private void endAfterProtocolError(MysqlClient client) {
        if (client.protocolError != null && !client.hasOpenRequest && client.waitingCommands.isEmpty()) {
            client.link.write(Protocol.error(1, MALFORMED_PACKET, "08S01", client.protocolError));
            end(client, EndReason.UNREADABLE);
        }
    }

    /**
     * Handles a command that violates the protocol: answers it and each command after it with an error, then ends the
     * connection.
     *
     * @param unprocessed commands that were read together with it and have not been processed
     */
    private void rejectRemaining(MysqlClient client, List<byte[]> unprocessed, String why) {
        long answersDue = client.answersDue()
                + unprocessed.stream().filter(RejectedCommands::hasAnswer).count();
        for (long count = answersDue; count > 0; count--) {
            client.error(MALFORMED_PACKET, "08S01", why);
        }
        dropWaitingCommands(client);
        malformed(client.link, why);
    }

    @Override
    public void messages(Link link, List<byte[]> packets, long atMicros) {
        MysqlClient client = byLink.get(link);
        for (int i = 0; i < packets.size(); i++) {
            if (client == null || client.protocolError != null || clients.get(client.handle) != client) {
                return;
            }
            try {
                takePacket(client, packets.get(i), atMicros);
            } catch (Framer.Malformed e) {
                rejectRemaining(client, packets.subList(i + 1, packets.size()), e.getMessage());
            }
        }
    }

    /** Takes a packet: a login, a command, or one that must wait for those before it. */
    private void takePacket(MysqlClient client, byte[] packet, long atMicros) throws Framer.Malformed {
        if (client.phase != MysqlClient.Phase.READY) {
            takeLogin(client, packet);
        } else if (client.isAnswerPending()
                && (client.waitingCommands.size() >= MAX_WAITING_COMMANDS
                        || !commandMemory.reserve(MysqlClient.Command.memoryBytes(packet), client.commandBytes()))) {
            client.addRejected(packet);
        } else if (client.isAnswerPending()) {
            addWaiting(client, packet, atMicros);
        } else {
            takeCommand(client, packet, atMicros);
            markIdle(client);
        }
    }

    /** Adds a command that waits; the answer to the open request is not held back beyond the time for its start. */
    private void addWaiting(MysqlClient client, byte[] packet, long atMicros) {
        long startByMicros =
                pooler.holdsAnswers() ? waitingCommands.startByMicros(client, packet, atMicros) : Long.MAX_VALUE;
        client.addWaiting(packet, atMicros, startByMicros);
        pooler.answerNeededBy(client.requestHandle, startByMicros);
    }

    private void takeLogin(MysqlClient client, byte[] packet) throws Framer.Malformed {
        if (!login.takeResponse(client, packet)) {
            end(client, EndReason.NOT_LET_IN);
        }
    }

    // ---- commands ----

    private void takeCommand(MysqlClient client, byte[] packet, long atMicros) throws Framer.Malformed {
        clientEviction.busy(client);
        PacketReader in = new PacketReader(packet);
        switch (in.int1()) {
            case Protocol.COM_QUIT -> end(client, EndReason.GOODBYE);
            case Protocol.COM_PING, Protocol.COM_INIT_DB -> client.ok();
            case Protocol.COM_QUERY -> takeQuery(client, in, atMicros);
            case Protocol.COM_STMT_PREPARE -> client.preparedStatements.prepare(in.rest());
            case Protocol.COM_STMT_EXECUTE -> {
                MysqlRequest request = client.preparedStatements.execute(in);
                if (request != null) {
                    submit(client, request, atMicros);
                }
            }
            case Protocol.COM_STMT_SEND_LONG_DATA -> client.preparedStatements.takeLongData(in);
            case Protocol.COM_STMT_CLOSE -> client.preparedStatements.close(in.fixedInt(4));
            case Protocol.COM_STMT_RESET -> client.preparedStatements.reset(in.fixedInt(4));
            case Protocol.COM_RESET_CONNECTION -> {
                client.preparedStatements.clear();
                client.ok();
            }
            default -> client.error(UNKNOWN_COMMAND, "08S01", "Unknown command");
        }
    }

    private void takeQuery(MysqlClient client, PacketReader in, long atMicros) throws Framer.Malformed {
        MysqlRequest request = MysqlRequest.ofQuery(client, in);
        byte[] text = request.text();
        String prefix = new String(text, 0, Math.min(text.length, 32), ISO_8859_1)
                .strip()
                .toUpperCase(Locale.ROOT);
        byte[][] variables = Variables.answer(
                new String(text, ISO_8859_1), client.hasCapability(Protocol.DEPRECATE_EOF), client.capabilities);
        if (variables != null) {
            client.link.write(variables);
        } else if (prefix.startsWith("SET ") || prefix.startsWith("USE ")) {
            client.ok();
        } else if (prefix.isEmpty() || prefix.equals(";")) {
            client.error(EMPTY_QUERY, "42000", "Query was empty");
        } else {
            submit(client, request, atMicros);
        }
    }

    /** Submits a request to the pooler. */
    private void submit(MysqlClient client, MysqlRequest request, long atMicros) {
        request.applyAttributes();
        String session = request.session();
        if (request.statement().isCut()) {
            warnings.warn("a MySQL statement ends within a literal, a quoted name or a comment");
        }
        try {
            ClientRequest clientRequest =
                    request.statement().toRequest(pooler.settings().classes(), atMicros, session, PROTOCOL, request);
            if (pooler.hasOpenRequest(clientRequest.id())) {
                throw new InvalidStatementException("field id names an open request");
            }
            if (answerMemory.isNearLimit() && client.link.isPeerBehind()) {
                warnings.warn("requests are refused as their clients have not read earlier answers");
                refuse(client, clientRequest, RefusalReason.ANSWERS_UNREAD);
                return;
            }
            if (client.link.mayHaveLeft()) {
                refuse(client, clientRequest, RefusalReason.INPUT_UNREAD);
                return;
            }
            if (!commandMemory.reserve(request.memoryBytes(), client.commandBytes())) {
                warnings.warn("requests are refused as the memory for commands is used up");
                refuse(client, clientRequest, RefusalReason.NO_COMMAND_MEMORY);
                return;
            }
            client.openRequestBytes = request.memoryBytes();
            client.hasOpenRequest = true;
            client.requestHandle = -1;
            long handle = pooler.submit(this, client.handle, clientRequest);
            if (client.hasOpenRequest) {
                client.requestHandle = handle;
                pooler.answerNeededBy(handle, client.startByMicros());
            }
        } catch (InvalidStatementException e) {
            client.error(PARSE_ERROR, "42000", e.getMessage());
        }
    }

    /** Refuses a request that has not been submitted. */
    private void refuse(MysqlClient client, ClientRequest request, RefusalReason reason) {
        pooler.refused(request.classIndex(), reason);
        client.refused(pooler.settings().limits().maxRetryAfterMicros());
    }

    // ---- answers ----

    @Override
    public void served(long ticket, Object answer, long position, ServerRole role) {
        MysqlClient client = clients.get(ticket);
        if (client == null) {
            return;
        }
        MysqlRequest.Answer whole = (MysqlRequest.Answer) answer;
        if (answerMemory.hasRoom(whole.size(), client.unreadBytes())) {
            client.answer(whole);
        } else {
            warnings.warn("answers are replaced by errors as clients have not read earlier ones");
            client.error(REQUEST_FAILED, "HY000", "failed: it may have run");
        }
        requestAnswered(client);
    }

    @Override
    public void rejected(long ticket, long retryAfterMicros) {
        MysqlClient client = clients.get(ticket);
        if (client != null) {
            client.refused(retryAfterMicros);
            requestAnswered(client);
        }
    }

    @Override
    public void failed(long ticket) {
        MysqlClient client = clients.get(ticket);
        if (client != null) {
            client.error(REQUEST_FAILED, "HY000", "failed: it may have run");
            requestAnswered(client);
        }
    }

    @Override
    public boolean isClientDisconnected(long ticket) {
        MysqlClient client = clients.get(ticket);
        return client == null || client.link.hasEnded();
    }

    @Override
    public boolean mayHaveLeft(long ticket) {
        MysqlClient client = clients.get(ticket);
        return client == null || client.link.mayHaveLeft();
    }

    @Override
    public String clientLabel(long ticket) {
        MysqlClient client = clients.get(ticket);
        return client == null ? Frontend.super.clientLabel(ticket) : client.link.label();
    }

    @Override
    public long unreadBytes(long ticket) {
        MysqlClient client = clients.get(ticket);
        return client == null ? 0 : client.link.pendingWriteBytes();
    }

    /** The open request has been answered: continues with the commands that wait. */
    private void requestAnswered(MysqlClient client) {
        client.hasOpenRequest = false;
        client.requestHandle = -1;
        releaseOpenRequest(client);
        takeWaitingCommands(client);
    }

    /** Processes waiting commands in order, until one becomes a request or the client is slow to read its answers. */
    private void takeWaitingCommands(MysqlClient client) {
        try {
            while (!client.hasOpenRequest
                    && !client.waitingCommands.isEmpty()
                    && clients.get(client.handle) == client) {
                if (client.link.isWriteBacklogged()) {
                    client.link.whenNotBacklogged(() -> takeWaitingCommands(client));
                    return;
                }
                if (pooler.loop().isTurnOver()) {
                    client.link.post(() -> takeWaitingCommands(client));
                    return;
                }
                MysqlClient.Command command = client.waitingCommands.peek();
                if (command.isRejected()) {
                    answerRejected(client, command.rejected());
                } else {
                    client.pollWaiting();
                    commandMemory.add(-command.memoryBytes());
                    takeCommand(client, command.packet(), command.atMicros());
                }
            }
            if (client.waitingCommands.isEmpty()) {
                client.link.pauseReading(false);
            }
            endAfterProtocolError(client);
            markIdle(client);
        } catch (Framer.Malformed e) {
            rejectRemaining(client, List.of(), e.getMessage());
        }
    }

    /** Answers the next of the commands that came beyond the limit, or ends their run if all have been answered. */
    private void answerRejected(MysqlClient client, RejectedCommands rejected) {
        rejected.applyTo(client.preparedStatements);
        if (rejected.answersDue() > 0) {
            rejected.answered();
            client.error(MysqlClient.REQUEST_REJECTED, "42000", "too many commands at once: a repeat does no harm");
        } else {
            client.pollWaiting();
            if (rejected.endsConnection()) {
                end(client, EndReason.GOODBYE);
            }
        }
    }

    /** Marks a connection without pending answers as idle, or closes it during a drain or a shutdown. */
    private void markIdle(MysqlClient client) {
        if (client.isAnswerPending() || clients.get(client.handle) != client) {
            return;
        }
        if (closesIdleConnections()) {
            closeWhenIdle(client);
        } else {
            clientEviction.idle(client);
        }
    }

    /**
     * Whether connections are to be closed as soon as they have no pending answer, because of a drain or a shutdown.
     */
    private boolean closesIdleConnections() {
        return pooler.clientDrain().closesConnections(pooler.loop().now());
    }

    /** During a drain or a shutdown, closes a connection once its client is not using it; retries until then. */
    private void closeWhenIdle(MysqlClient client) {
        if (client.isCloseScheduled
                || !closesIdleConnections()
                || clients.get(client.handle) != client
                || client.isAnswerPending()) {
            return;
        }
        retire(client, CLOSE_GRACE_MICROS, EndReason.SENT_AWAY);
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

    /** The number of connected clients. */
    public int open() {
        return clients.size();
    }
}
