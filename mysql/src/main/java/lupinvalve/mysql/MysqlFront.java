package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lupinvalve.Routing;
import lupinvalve.core.Front;
import lupinvalve.core.Pooler;
import lupinvalve.core.Slots;
import lupinvalve.core.Statement;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.net.Spare;

/**
 * Speaks MySQL's protocol to clients, prepared statements included. The front owns the statements' numbers, so that a
 * statement outlives the db node that first ran it. Core thread only.
 */
public final class MysqlFront implements Front, Link.Events {
    public static final String PROTOCOL = "mysql";
    private static final int PACKET_MOST = 1 << 20, STATEMENTS_MOST = 256, WAITING_MOST = 64;
    /** Bytes of all commands that wait their turn. */
    private static final long WAITING_BYTES = 8 << 20;
    private static final int AHEAD_MOST = 1 << 20;
    private static final long OFFERED = Protocol.LONG_PASSWORD | Protocol.FOUND_ROWS | Protocol.CONNECT_WITH_DB
            | Protocol.PROTOCOL_41 | Protocol.TRANSACTIONS | Protocol.SECURE_CONNECTION | Protocol.PLUGIN_AUTH
            | Protocol.LENENC_AUTH | Protocol.SESSION_TRACK | Protocol.DEPRECATE_EOF | Protocol.QUERY_ATTRIBUTES;
    private static final long AGAIN = 20_000;
    /** Once the program ends, a client has so long to go on with what it has begun to send, or to read. */
    private static final long LAST_PATIENCE = 300_000;
    private static final int REFUSED = 1226, FAILED = 1105;
    private final Pooler pooler;
    private String user, password;
    private final SecureRandom random = new SecureRandom();
    private final Slots<Client> clients;
    private final Map<Link, Client> byLink = new IdentityHashMap<>();
    private final Spare<Client> spare;
    private long waiting;

    private enum At { LOGIN, SWITCHED, READY }

    private static final class Prepared {
        final byte[] text;
        final int places;
        List<Params.Param> types;
        List<MysqlRequest.LongData> ahead = new ArrayList<>();
        int aheadBytes;

        Prepared(byte[] text, int places) {
            this.text = text;
            this.places = places;
        }
    }

    /** A command that waits its turn. */
    private record Command(byte[] packet, long atMicros) {}

    private static final class Client {
        final Link link;
        final byte[] nonce = new byte[20];
        long slot;
        At at = At.LOGIN;
        long capabilities, request = -1;
        int statements;
        boolean busy, binary;
        final Map<Long, Prepared> prepared = new HashMap<>();
        final ArrayDeque<Command> waiting = new ArrayDeque<>();

        Client(Link link) {
            this.link = link;
        }

        boolean has(int capability) {
            return (capabilities & capability) != 0;
        }
    }

    public MysqlFront(Pooler pooler, int clientsMost, String user, String password) {
        this.pooler = pooler;
        this.user = user;
        this.password = password;
        clients = new Slots<>(clientsMost);
        spare = new Spare<>(pooler.loop(), clients, pooler.settings().limits().openMost(), this::retire);
    }

    /** Changes the account; those logged in stay. */
    public void account(String newUser, String newPassword) {
        user = newUser;
        password = newPassword;
    }

    public Framer framer() {
        return new MysqlFramer(PACKET_MOST);
    }

    // ---- connections ----

    @Override
    public void opened(Link link) {
        spare.makeRoom();
        if (clients.full()) {
            link.write(new Out().int1(0xFF).fixed(1040, 2).text("Too many connections").packet(0));
            link.finish();
            return;
        }
        Client client = new Client(link);
        client.slot = clients.put(client);
        byLink.put(link, client);
        spare.opened(client);
        if (ends()) {
            pooler.loop().after(LAST_PATIENCE, () -> part(client));
        }
        random.nextBytes(client.nonce);
        for (int i = 0; i < 20; i++) {
            // Clients read it as text: no zero byte may end it early.
            client.nonce[i] = (byte) (client.nonce[i] & 63 | 64);
        }
        byte[] first = java.util.Arrays.copyOf(client.nonce, 8);
        byte[] second = java.util.Arrays.copyOfRange(client.nonce, 8, 20);
        link.write(new Out().int1(10).zero("8.0.0-lupinvalve").fixed(client.slot, 4).raw(first).int1(0)
                .fixed(OFFERED & 0xFFFF, 2).int1(45).fixed(Protocol.STATUS_AUTOCOMMIT, 2).fixed(OFFERED >> 16, 2)
                .int1(21).raw(new byte[10]).raw(second).int1(0).zero(Protocol.SHA2).packet(0));
    }

    @Override
    public void closed(Link link) {
        Client client = byLink.get(link);
        if (client != null) {
            forget(client);
        }
    }

    private void forget(Client client) {
        byLink.remove(client.link);
        clients.free(client.slot);
        spare.gone(client);
        client.waiting.forEach(command -> waiting -= command.packet().length);
        client.waiting.clear();
        if (client.busy) {
            pooler.gone(client.request);
        }
    }

    private void end(Client client) {
        if (clients.get(client.slot) == client) {
            forget(client);
            client.link.finish();
        }
    }

    /** Ends a connection on which nothing is due, unless its client has begun to use it. */
    private boolean retire(Client client, long patience) {
        boolean ended = !client.busy && client.waiting.isEmpty() && client.link.retire(patience);
        if (ended) {
            forget(client);
        }
        return ended;
    }

    @Override
    public void malformed(Link link, String why) {
        Client client = byLink.get(link);
        if (client != null) {
            client.link.write(Protocol.error(1, 1153, "08S01", why));
            end(client);
        }
    }

    @Override
    public void messages(Link link, List<byte[]> packets, long atMicros) {
        Client client = byLink.get(link);
        for (byte[] packet : packets) {
            if (client == null || clients.get(client.slot) != client) {
                return;
            }
            try {
                if (client.at != At.READY) {
                    login(client, packet);
                } else if (client.busy && (client.waiting.size() >= WAITING_MOST
                        || waiting + packet.length > WAITING_BYTES)) {
                    malformed(link, "too many commands at once");
                } else if (client.busy) {
                    waiting += packet.length;
                    client.waiting.add(new Command(packet, atMicros));
                } else {
                    command(client, packet, atMicros);
                    rest(client);
                }
            } catch (Framer.Malformed e) {
                malformed(link, e.getMessage());
            }
        }
    }

    // ---- login ----

    private void login(Client client, byte[] packet) throws Framer.Malformed {
        In in = new In(packet);
        int sequence = packet[3] + 1;
        if (client.at == At.SWITCHED) {
            prove(client, Protocol.SHA2, in.rest(), sequence);
            return;
        }
        client.capabilities = in.fixed(4) & OFFERED;
        in.fixed(4);
        in.raw(24);
        String name = in.zero();
        byte[] proof = client.has(Protocol.LENENC_AUTH) ? in.counted() : in.raw(in.int1());
        if (client.has(Protocol.CONNECT_WITH_DB)) {
            in.zero();
        }
        String plugin = client.has(Protocol.PLUGIN_AUTH) ? in.zero() : Protocol.NATIVE;
        if (!client.has(Protocol.PROTOCOL_41)) {
            throw new Framer.Malformed("protocol 4.1 only");
        }
        if (!name.equals(user)) {
            deny(client, sequence);
        } else if (plugin.equals(Protocol.NATIVE) || plugin.equals(Protocol.SHA2)) {
            prove(client, plugin, proof, sequence);
        } else {
            client.at = At.SWITCHED;
            client.link.write(new Out().int1(0xFE).zero(Protocol.SHA2).raw(client.nonce).int1(0).packet(sequence));
        }
    }

    private void prove(Client client, String plugin, byte[] proof, int sequence) {
        byte[] given = proof.length == 1 && proof[0] == 0 ? new byte[0] : proof;
        if (!MessageDigest.isEqual(given, Protocol.scramble(plugin, password, client.nonce))) {
            deny(client, sequence);
            return;
        }
        int next = sequence;
        if (plugin.equals(Protocol.SHA2) && !password.isEmpty()) {
            client.link.write(new Out().int1(1).int1(3).packet(next++));
        }
        client.at = At.READY;
        client.link.write(Protocol.Ok.PLAIN.packet(0, client.capabilities, next));
    }

    private void deny(Client client, int sequence) {
        client.link.write(Protocol.error(sequence, 1045, "28000", "Access denied"));
        end(client);
    }

    // ---- commands ----

    private void command(Client client, byte[] packet, long atMicros) throws Framer.Malformed {
        spare.busy(client);
        In in = new In(packet);
        switch (in.int1()) {
            case Protocol.COM_QUIT -> end(client);
            case Protocol.COM_PING, Protocol.COM_INIT_DB -> ok(client);
            case Protocol.COM_QUERY -> query(client, in, atMicros);
            case Protocol.COM_PREPARE -> prepare(client, in.rest());
            case Protocol.COM_EXECUTE -> execute(client, in, atMicros);
            case Protocol.COM_LONG_DATA -> longData(client, in);
            case Protocol.COM_CLOSE -> client.prepared.remove(in.fixed(4));
            case Protocol.COM_RESET -> {
                Prepared statement = client.prepared.get(in.fixed(4));
                if (statement == null) {
                    unknown(client);
                } else {
                    statement.ahead = new ArrayList<>();
                    statement.aheadBytes = 0;
                    ok(client);
                }
            }
            case Protocol.COM_RESET_CONNECTION -> {
                client.prepared.clear();
                ok(client);
            }
            default -> error(client, 1047, "08S01", "Unknown command");
        }
    }

    private void ok(Client client) {
        client.link.write(Protocol.Ok.PLAIN.packet(0, client.capabilities, 1));
    }

    private void error(Client client, int code, String state, String text) {
        client.link.write(Protocol.error(1, code, state, text));
    }

    private void unknown(Client client) {
        error(client, 1243, "HY000", "Unknown prepared statement");
    }

    private void query(Client client, In in, long atMicros) throws Framer.Malformed {
        List<Params.Param> attributes = List.of();
        if (client.has(Protocol.QUERY_ATTRIBUTES)) {
            int count = bounded(in.lenenc());
            in.lenenc();
            if (count > 0) {
                attributes = Params.read(in, count, true, null, List.of());
            }
        }
        byte[] text = in.rest();
        String start = new String(text, 0, Math.min(text.length, 32), ISO_8859_1).strip().toUpperCase(Locale.ROOT);
        byte[][] variables = Variables.answer(new String(text, ISO_8859_1), client.has(Protocol.DEPRECATE_EOF),
                client.capabilities);
        if (variables != null) {
            client.link.write(variables);
        } else if (start.startsWith("SET ") || start.startsWith("USE ")) {
            ok(client);
        } else if (start.isEmpty() || start.equals(";")) {
            error(client, 1065, "42000", "Query was empty");
        } else {
            ask(client, new MysqlRequest(text, new Statement(text), false, attributes, 0, List.of()), atMicros);
        }
    }

    private static int bounded(long count) throws Framer.Malformed {
        if (count > 65535) {
            throw new Framer.Malformed("too many parameters");
        }
        return (int) count;
    }

    /** Answered by the front alone: a prepare runs nothing, and names no group that a db node could be chosen from. */
    private void prepare(Client client, byte[] text) {
        int places = Params.places(text);
        if (places > 65535 || client.prepared.size() >= STATEMENTS_MOST) {
            error(client, places > 65535 ? 1390 : 1461, places > 65535 ? "HY000" : "42000",
                    "Too many placeholders or prepared statements");
            return;
        }
        long id = ++client.statements;
        client.prepared.put(id, new Prepared(text, places));
        int sequence = 1;
        client.link.write(new Out().int1(0).fixed(id, 4).fixed(0, 2).fixed(places, 2).int1(0).fixed(0, 2)
                .packet(sequence++));
        for (int i = 0; i < places; i++) {
            client.link.write(new Out().counted("def").counted("").counted("").counted("").counted("?").counted("")
                    .lenenc(12).fixed(63, 2).fixed(0, 4).int1(0xFD).fixed(128, 2).int1(0).fixed(0, 2)
                    .packet(sequence++));
        }
        if (places > 0 && !client.has(Protocol.DEPRECATE_EOF)) {
            client.link.write(Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence));
        }
    }

    private void longData(Client client, In in) throws Framer.Malformed {
        Prepared statement = client.prepared.get(in.fixed(4));
        int param = (int) in.fixed(2);
        byte[] bytes = in.rest();
        if (statement == null || param >= statement.places) {
            return;
        }
        statement.aheadBytes += bytes.length;
        if (statement.aheadBytes > AHEAD_MOST) {
            throw new Framer.Malformed("values sent ahead are too long");
        }
        statement.ahead.add(new MysqlRequest.LongData(param, bytes));
    }

    private void execute(Client client, In in, long atMicros) throws Framer.Malformed {
        Prepared statement = client.prepared.get(in.fixed(4));
        if (statement == null) {
            unknown(client);
            return;
        }
        int flags = in.int1();
        in.fixed(4);
        List<MysqlRequest.LongData> ahead = statement.ahead;
        List<Params.Param> params = List.of();
        boolean named = client.has(Protocol.QUERY_ATTRIBUTES);
        int count = statement.places;
        if (named && (count > 0 || (flags & Protocol.COUNT_TOLD) != 0)) {
            count = bounded(in.lenenc());
        }
        if (count < statement.places) {
            error(client, 1210, "HY000", "Incorrect arguments to EXECUTE");
            return;
        }
        if (count > 0) {
            List<Boolean> sentAhead = new ArrayList<>();
            for (int i = 0; i < statement.places; i++) {
                int param = i;
                sentAhead.add(ahead.stream().anyMatch(piece -> piece.param() == param));
            }
            params = Params.read(in, count, named, statement.types, sentAhead);
            statement.types = params;
        }
        statement.ahead = new ArrayList<>();
        statement.aheadBytes = 0;
        ask(client, new MysqlRequest(statement.text, new Statement(statement.text), true, params, statement.places,
                ahead), atMicros);
    }

    private void ask(Client client, MysqlRequest request, long atMicros) {
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
            Pooler.Ask ask = request.statement().ask(pooler.settings().classes(), atMicros, session, PROTOCOL,
                    request);
            if (pooler.named(ask.id())) {
                throw new Statement.Unclear("field id names an open request");
            }
            client.busy = true;
            client.binary = request.prepared();
            client.request = -1;
            long handle = pooler.request(this, client.slot, ask);
            if (client.busy) {
                client.request = handle;
            }
        } catch (Statement.Unclear e) {
            error(client, 1064, "42000", e.getMessage());
        }
    }

    // ---- answers ----

    @Override
    public void served(long ticket, Object answer, long position, Routing.Role role) {
        Client client = clients.get(ticket);
        if (client == null) {
            return;
        }
        MysqlRequest.Answer served = (MysqlRequest.Answer) answer;
        boolean newer = client.has(Protocol.DEPRECATE_EOF);
        List<byte[]> out = new ArrayList<>();
        for (byte[] packet : served.packets()) {
            out.add(Out.packet(packet, 4, out.size() + 1));
            if (out.size() == served.columns() + 1 && !newer) {
                out.add(Protocol.eof(served.ok().status(), out.size() + 1));
            }
        }
        int sequence = out.size() + 1;
        if (out.isEmpty()) {
            out.add(served.ok().packet(0, client.capabilities, sequence));
        } else {
            out.add(newer ? served.ok().packet(0xFE, client.capabilities, sequence)
                    : Protocol.eof(served.ok().status(), sequence));
        }
        // One write: an answer in many small segments costs a small machine more than its bytes do.
        client.link.write(out.toArray(new byte[0][]));
        next(client);
    }

    @Override
    public void refused(long ticket, long retryAfterMicros) {
        Client client = clients.get(ticket);
        if (client != null) {
            error(client, REFUSED, "42000", "refused: a repeat does no harm; retry after "
                    + (retryAfterMicros + 999) / 1000 + " ms");
            next(client);
        }
    }

    @Override
    public void failed(long ticket) {
        Client client = clients.get(ticket);
        if (client != null) {
            error(client, FAILED, "HY000", "failed: it may have run");
            next(client);
        }
    }

    @Override
    public boolean left(long ticket) {
        Client client = clients.get(ticket);
        return client == null || client.link.left();
    }

    private void next(Client client) {
        client.busy = false;
        client.request = -1;
        try {
            while (!client.busy && !client.waiting.isEmpty() && clients.get(client.slot) == client) {
                Command command = client.waiting.poll();
                waiting -= command.packet().length;
                command(client, command.packet(), command.atMicros());
            }
            rest(client);
        } catch (Framer.Malformed e) {
            malformed(client.link, e.getMessage());
        }
    }

    private void rest(Client client) {
        if (client.busy || clients.get(client.slot) != client) {
            return;
        }
        if (ends()) {
            part(client);
        } else {
            spare.rests(client);
        }
    }

    /** Whether connections end as soon as nothing is due on them. */
    private boolean ends() {
        return pooler.drain().ends(pooler.loop().now());
    }

    /** Ends a connection as clients are sent away, as soon as its client is not using it. */
    private void part(Client client) {
        if (ends() && clients.get(client.slot) == client && !client.busy && !retire(client, LAST_PATIENCE)) {
            pooler.loop().after(AGAIN, () -> part(client));
        }
    }

    /** Connections end as soon as nothing is due on them, as long as the drain says so. */
    public void close() {
        clients.each(this::part);
    }

    public int open() {
        return clients.size();
    }
}
