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
import lupinvalve.core.Statement;
import lupinvalve.net.ClientEndLog;
import lupinvalve.net.ClientEviction;
import lupinvalve.net.EndReason;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.routing.ServerRole;

/**
 * Takes MySQL clients' connections and commands, and passes requests to the pooler and its answers back.
 * {@link MysqlLogin} does logins, {@link PreparedStatements} what needs no db node. Core thread only.
 */
public final class MysqlFront implements Frontend, Link.Events {
    /** The name by which db nodes that speak this protocol are asked for. */
    public static final String PROTOCOL = "mysql";

    private static final int PACKET_MOST = 1 << 20;
    /** Commands of one client that wait their turn. */
    private static final int WAITING_MOST = 64;
    /** Bytes of all commands that wait their turn. */
    private static final long WAITING_BYTES = 8 << 20;
    /** A client that has much to read gets its next answer once no more than this is left. */
    private static final long ROOM_AGAIN = 256 << 10;
    /** Pause before a connection that could not end is looked at again. */
    private static final long AGAIN = 20_000;
    /** Once the program ends, a client has so long to go on with what it has begun to send, or to read. */
    private static final long LAST_PATIENCE = 300_000;

    private static final int REFUSED = 1226;
    private static final int FAILED = 1105;
    private static final int TOO_MANY_CONNECTIONS = 1040;
    private static final int UNKNOWN_COMMAND = 1047;
    private static final int PARSE_ERROR = 1064;
    private static final int EMPTY_QUERY = 1065;
    private static final int MALFORMED_PACKET = 1153;
    private final Pooler pooler;
    private final MysqlLogin login;
    private final HandleTable<MysqlClient> clients;
    private final Map<Link, MysqlClient> byLink = new IdentityHashMap<>();
    private final ClientEviction<MysqlClient> spare;
    private final ClientEndLog ends;
    private long waiting;

    /** A front for one account; it takes at most so many clients. */
    public MysqlFront(Pooler pooler, int clientsMost, String user, String password) {
        this.pooler = pooler;
        login = new MysqlLogin(user, password);
        clients = new HandleTable<>(ClientEviction.tableCapacity(clientsMost));
        spare = new ClientEviction<>(
                pooler.loop(), clients, clientsMost, pooler.settings().limits().maxOpenRequests(), this::retire);
        ends = new ClientEndLog(pooler.loop());
    }

    /** Changes the account; those logged in stay. */
    public void account(String newUser, String newPassword) {
        login.account(newUser, newPassword);
    }

    /** Cuts what a client sends into packets. */
    public Framer framer() {
        return new MysqlFramer(PACKET_MOST);
    }

    // ---- connections ----

    @Override
    public void opened(Link link) {
        spare.makeRoom();
        if (spare.isFull()) {
            link.write(new Out()
                    .int1(0xFF)
                    .fixed(TOO_MANY_CONNECTIONS, 2)
                    .text("Too many connections")
                    .packet(0));
            link.finish();
            ends.ended(EndReason.PAST_BOUND, link, 0);
            return;
        }
        MysqlClient client = new MysqlClient(link);
        client.slot = clients.put(client);
        byLink.put(link, client);
        spare.opened(client);
        if (ends()) {
            pooler.loop().after(LAST_PATIENCE, () -> part(client));
        }
        login.greet(client);
    }

    @Override
    public void closed(Link link) {
        MysqlClient client = byLink.get(link);
        if (client != null) {
            forget(client, link.reason());
        }
    }

    private void forget(MysqlClient client, EndReason reason) {
        ends.ended(reason, client.link, client.waiting.size() + (client.busy ? 1 : 0));
        byLink.remove(client.link);
        clients.remove(client.slot);
        spare.closed(client);
        client.waiting.forEach(command -> waiting -= command.size());
        client.waiting.clear();
        if (client.busy) {
            pooler.clientDisconnected(client.request);
        }
    }

    private void end(MysqlClient client, EndReason reason) {
        if (clients.get(client.slot) == client) {
            forget(client, reason);
            client.link.finish();
        }
    }

    /**
     * Asks for the end of a connection on which nothing is due; {@link #closed} follows, unless its client has begun to
     * use it.
     */
    private boolean retire(MysqlClient client, long patience, EndReason reason) {
        return !client.waits() && client.link.retire(patience, reason);
    }

    @Override
    public void malformed(Link link, String why) {
        MysqlClient client = byLink.get(link);
        if (client != null && client.fault == null) {
            client.fault = why;
            endIfFaulty(client);
        }
    }

    /** Ends a connection of which nothing more can be read, once what was read before that is answered. */
    private void endIfFaulty(MysqlClient client) {
        if (client.fault != null && !client.busy && client.waiting.isEmpty()) {
            client.link.write(Protocol.error(1, MALFORMED_PACKET, "08S01", client.fault));
            end(client, EndReason.UNREADABLE);
        }
    }

    /**
     * A command that breaks the protocol: its client is told so, and so is each command that came behind it; then the
     * connection ends.
     *
     * @param untold commands that came with it and have not been looked at
     */
    private void refuseAll(MysqlClient client, int untold, String why) {
        for (int count = client.waiting.size() + untold; count > 0; count--) {
            client.error(MALFORMED_PACKET, "08S01", why);
        }
        client.waiting.forEach(command -> waiting -= command.size());
        client.waiting.clear();
        malformed(client.link, why);
    }

    @Override
    public void messages(Link link, List<byte[]> packets, long atMicros) {
        MysqlClient client = byLink.get(link);
        for (int i = 0; i < packets.size(); i++) {
            if (client == null || client.fault != null || clients.get(client.slot) != client) {
                return;
            }
            try {
                take(client, packets.get(i), atMicros);
            } catch (Framer.Malformed e) {
                refuseAll(client, packets.size() - i - 1, e.getMessage());
            }
        }
    }

    private void take(MysqlClient client, byte[] packet, long atMicros) throws Framer.Malformed {
        if (client.phase != MysqlClient.Phase.READY) {
            login(client, packet);
        } else if (client.waits()
                && (client.waiting.size() >= WAITING_MOST || waiting + packet.length > WAITING_BYTES)) {
            client.waiting.add(MysqlClient.Command.refused());
        } else if (client.waits()) {
            waiting += packet.length;
            client.waiting.add(new MysqlClient.Command(packet, atMicros));
        } else {
            command(client, packet, atMicros);
            rest(client);
        }
    }

    private void login(MysqlClient client, byte[] packet) throws Framer.Malformed {
        if (!login.take(client, packet)) {
            end(client, EndReason.NOT_LET_IN);
        }
    }

    // ---- commands ----

    private void command(MysqlClient client, byte[] packet, long atMicros) throws Framer.Malformed {
        spare.busy(client);
        In in = new In(packet);
        switch (in.int1()) {
            case Protocol.COM_QUIT -> end(client, EndReason.GOODBYE);
            case Protocol.COM_PING, Protocol.COM_INIT_DB -> client.ok();
            case Protocol.COM_QUERY -> query(client, in, atMicros);
            case Protocol.COM_PREPARE -> client.prepared.prepare(in.rest());
            case Protocol.COM_EXECUTE -> {
                MysqlRequest request = client.prepared.execute(in);
                if (request != null) {
                    ask(client, request, atMicros);
                }
            }
            case Protocol.COM_LONG_DATA -> client.prepared.longData(in);
            case Protocol.COM_CLOSE -> client.prepared.close(in.fixed(4));
            case Protocol.COM_RESET -> client.prepared.reset(in.fixed(4));
            case Protocol.COM_RESET_CONNECTION -> {
                client.prepared.clear();
                client.ok();
            }
            default -> client.error(UNKNOWN_COMMAND, "08S01", "Unknown command");
        }
    }

    private void query(MysqlClient client, In in, long atMicros) throws Framer.Malformed {
        List<Params.Param> attributes = List.of();
        if (client.has(Protocol.QUERY_ATTRIBUTES)) {
            int count = Params.count(in.lenenc());
            in.lenenc();
            if (count > 0) {
                attributes = Params.read(in, count, true, null, List.of());
            }
        }
        byte[] text = in.rest();
        String start = new String(text, 0, Math.min(text.length, 32), ISO_8859_1)
                .strip()
                .toUpperCase(Locale.ROOT);
        byte[][] variables =
                Variables.answer(new String(text, ISO_8859_1), client.has(Protocol.DEPRECATE_EOF), client.capabilities);
        if (variables != null) {
            client.link.write(variables);
        } else if (start.startsWith("SET ") || start.startsWith("USE ")) {
            client.ok();
        } else if (start.isEmpty() || start.equals(";")) {
            client.error(EMPTY_QUERY, "42000", "Query was empty");
        } else {
            ask(client, new MysqlRequest(text, new Statement(text), false, attributes, 0, List.of()), atMicros);
        }
    }

    private void ask(MysqlClient client, MysqlRequest request, long atMicros) {
        String session = null;
        for (int i = 0; i < request.params().size(); i++) {
            Params.Param p = request.params().get(i);
            if (i >= request.values() && p.text() != null) {
                request.statement().set(p.name(), p.text());
            } else if (session == null && i < request.values() && p.textual()) {
                session = p.text();
            }
        }
        try {
            ClientRequest ask =
                    request.statement().toRequest(pooler.settings().classes(), atMicros, session, PROTOCOL, request);
            if (pooler.hasOpenRequest(ask.id())) {
                throw new InvalidStatementException("field id names an open request");
            }
            client.busy = true;
            client.request = -1;
            long handle = pooler.submit(this, client.slot, ask);
            if (client.busy) {
                client.request = handle;
            }
        } catch (InvalidStatementException e) {
            client.error(PARSE_ERROR, "42000", e.getMessage());
        }
    }

    // ---- answers ----

    @Override
    public void served(long ticket, Object answer, long position, ServerRole role) {
        MysqlClient client = clients.get(ticket);
        if (client == null) {
            return;
        }
        client.answer((MysqlRequest.Answer) answer);
        answered(client);
    }

    @Override
    public void rejected(long ticket, long retryAfterMicros) {
        MysqlClient client = clients.get(ticket);
        if (client != null) {
            client.error(
                    REFUSED,
                    "42000",
                    "refused: a repeat does no harm; retry after " + (retryAfterMicros + 999) / 1000 + " ms");
            answered(client);
        }
    }

    @Override
    public void failed(long ticket) {
        MysqlClient client = clients.get(ticket);
        if (client != null) {
            client.error(FAILED, "HY000", "failed: it may have run");
            answered(client);
        }
    }

    @Override
    public boolean isClientDisconnected(long ticket) {
        MysqlClient client = clients.get(ticket);
        return client == null || client.link.hasEnded();
    }

    private void answered(MysqlClient client) {
        client.busy = false;
        client.request = -1;
        next(client);
    }

    /** Goes on with the commands that wait, as far as their client reads its answers. */
    private void next(MysqlClient client) {
        try {
            while (!client.busy && !client.waiting.isEmpty() && clients.get(client.slot) == client) {
                if (client.link.isWriteBacklogged()) {
                    client.link.whenPendingAtMost(ROOM_AGAIN, () -> next(client));
                    return;
                }
                MysqlClient.Command command = client.waiting.poll();
                waiting -= command.size();
                if (command.isRefused()) {
                    client.error(REFUSED, "42000", "too many commands at once: a repeat does no harm");
                } else {
                    command(client, command.packet(), command.atMicros());
                }
            }
            endIfFaulty(client);
            rest(client);
        } catch (Framer.Malformed e) {
            refuseAll(client, 0, e.getMessage());
        }
    }

    private void rest(MysqlClient client) {
        if (client.waits() || clients.get(client.slot) != client) {
            return;
        }
        if (ends()) {
            part(client);
        } else {
            spare.idle(client);
        }
    }

    /** Whether connections end as soon as nothing is due on them. */
    private boolean ends() {
        return pooler.clientDrain().closesConnections(pooler.loop().now());
    }

    /** Ends a connection as clients are sent away, as soon as its client is not using it. */
    private void part(MysqlClient client) {
        if (client.parts || !ends() || clients.get(client.slot) != client || client.waits()) {
            return;
        }
        retire(client, LAST_PATIENCE, EndReason.SENT_AWAY);
        // Until it has ended: its client may use it meanwhile.
        client.parts = true;
        pooler.loop().after(AGAIN, () -> {
            client.parts = false;
            part(client);
        });
    }

    /** Connections end as soon as nothing is due on them, as long as the drain says so. */
    public void close() {
        clients.forEach(this::part);
    }

    /** How many clients are connected. */
    public int open() {
        return clients.size();
    }
}
