package lupinvalve.pg;

import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.Backend;
import lupinvalve.core.ClientRequest;
import lupinvalve.core.Frontend;
import lupinvalve.core.HandleTable;
import lupinvalve.core.InvalidStatementException;
import lupinvalve.core.Pooler;
import lupinvalve.core.Statement;
import lupinvalve.log.Log;
import lupinvalve.maintenance.Metrics;
import lupinvalve.maintenance.ResourceBudgets;
import lupinvalve.net.ClientEndLog;
import lupinvalve.net.ClientEviction;
import lupinvalve.net.EndReason;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.routing.ServerRole;

/** Speaks PostgreSQL's protocol to clients: simple queries, pipelined or not, answered in order. Core thread only. */
public final class PgFront implements Frontend, Link.Events {
    public static final String PROTOCOL = "pg";
    /** Values have been seen with 400 KB, which are 800 KB as hexadecimal digits. */
    private static final int MESSAGE_MOST = 1 << 20;

    private static final int PIPELINED_MOST = 64;
    /** Bytes of all statements that wait for their answers. */
    private static final long WAITING_MOST = 8 << 20;
    /** Bytes of long answers that wait for their clients to read those before them; one more is told to have failed. */
    private static final long UNSENT_MOST = 16 << 20;
    /** A client that has much to read gets its next answer once no more than this is left. */
    private static final long ROOM_AGAIN = 256 << 10;
    /** From this size on an answer counts as a long one. */
    private static final int LONG_ANSWER = 64 << 10;
    /** A row that broke off is filled up in pieces of this size. */
    private static final int FILLER = 16 << 10;
    /** Connections past the bound that are still told so, and for how long they may stay. */
    private static final int EXTRA_MOST = 32;

    private static final long EXTRA_WAIT = 250_000, AGAIN = 20_000;
    /** Once the program ends, a client has so long to go on with what it has begun to send, or to read. */
    private static final long LAST_PATIENCE = 300_000;

    private final Pooler pooler;
    private final HandleTable<Client> clients;
    private final HandleTable<Reply> replies;
    private final IdentityHashMap<Link, Client> byLink = new IdentityHashMap<>();
    private final ClientEviction<Client> spare;
    /** Connections past the bound, and whether they have been told so. */
    private final Map<Link, Boolean> extra = new IdentityHashMap<>();
    /** Whose requests a cancel names, by process number and secret key, which each connection is told. */
    private final Map<Long, Client> byKey = new HashMap<>();

    private final SecureRandom random = new SecureRandom();
    private final ClientEndLog ends;
    private long waiting, unsent;
    private int streams, numbers;

    private static final class Client {
        final Link link;
        long slot, key;
        final long openedAt;
        boolean welcomed, asked;
        /** Whether it is looked at again in a moment, as clients are sent away. */
        boolean parts;
        /** Why the connection ends once all that is due has been answered; null where it goes on. */
        EndReason last;

        final ArrayDeque<Reply> due = new ArrayDeque<>();

        Client(Link link, long openedAt) {
            this.link = link;
            this.openedAt = openedAt;
        }
    }

    /** An answer that is due on a connection; its bytes wait for those before it. */
    private static final class Reply {
        final Client client;
        long request = -1, ticket;
        int size;
        byte[][] bytes;
        /** Of a long answer: where it comes from, and what waits for the answers before it. */
        Backend.StreamSource source;

        final ArrayDeque<byte[]> pieces = new ArrayDeque<>(0);
        /**
         * How much of its row has yet to come, whether any of it has been written, and whether it broke off and is
         * being filled up.
         */
        long rowLeft;

        boolean begun, isFilling;
        /** What is counted of it as long as it has not been written. */
        long unsent;

        Reply(Client client) {
            this.client = client;
        }
    }

    /** @param clientsMost connections held at once; those beyond are told 53300 */
    public PgFront(Pooler pooler, int clientsMost) {
        this.pooler = pooler;
        clients = new HandleTable<>(ClientEviction.tableCapacity(clientsMost));
        spare = new ClientEviction<>(
                pooler.loop(), clients, clientsMost, pooler.settings().limits().maxOpenRequests(), this::retire);
        replies = new HandleTable<>(clientsMost * 8);
        ends = new ClientEndLog(pooler.loop());
    }

    public Framer framer() {
        return new PgFramer(true, MESSAGE_MOST);
    }

    // ---- connections ----

    @Override
    public void opened(Link link) {
        spare.makeRoom();
        if (spare.isFull()) {
            // Answered once it has spoken: closing on unread bytes would reset the connection before the answer.
            extra.put(link, false);
            turnAway(link, extra.size() > EXTRA_MOST ? 0 : EXTRA_WAIT);
            return;
        }
        Client client = new Client(link, pooler.loop().now());
        client.slot = clients.put(client);
        byLink.put(link, client);
        spare.opened(client);
        part(client);
    }

    /** Whether connections end as soon as nothing is due on them. */
    private boolean ends() {
        return pooler.clientDrain().closesConnections(pooler.loop().now());
    }

    /** Ends a connection past the bound that has said nothing; one that has is told why by {@link #messages}. */
    private void turnAway(Link link, long waitMicros) {
        pooler.loop().after(waitMicros, () -> {
            if (extra.containsKey(link)) {
                link.retire(0, EndReason.PAST_BOUND);
                turnAway(link, AGAIN);
            }
        });
    }

    @Override
    public void closed(Link link) {
        if (extra.remove(link) != null) {
            ends.ended(link.reason(), link, 0);
        }
        Client client = byLink.remove(link);
        if (client != null) {
            drop(client, link.reason());
        }
    }

    /** Ends a connection once what was written to it is out. */
    private void end(Client client, EndReason reason) {
        drop(client, reason);
        client.link.finish();
    }

    /**
     * Asks for the end of a connection on which nothing is due; {@link #closed} follows, unless its client has begun to
     * use it.
     */
    private boolean retire(Client client, long patience, EndReason reason) {
        return client.due.isEmpty() && client.link.retire(patience, reason);
    }

    private void drop(Client client, EndReason reason) {
        ends.ended(reason, client.link, client.due.size());
        byLink.remove(client.link);
        byKey.remove(client.key);
        spare.closed(client);
        clients.remove(client.slot);
        for (Reply reply : client.due) {
            unsent -= reply.unsent;
            if (reply.bytes == null) {
                if (replies.remove(reply.ticket) == null) {
                    continue;
                }
                over(reply);
                pooler.clientDisconnected(reply.request);
            }
        }
        client.due.clear();
    }

    @Override
    public void malformed(Link link, String why) {
        Client client = byLink.get(link);
        if (client != null && client.last == null) {
            client.last = EndReason.UNREADABLE;
            answer(client, PgMessages.error("FATAL", "08P01", why, null));
        } else if (extra.remove(link) != null) {
            link.write(PgMessages.error("FATAL", "08P01", why, null));
            link.finish();
            ends.ended(EndReason.UNREADABLE, link, 0);
        }
    }

    @Override
    public void messages(Link link, List<byte[]> messages, long atMicros) {
        Client client = byLink.get(link);
        if (client == null) {
            if (extra.containsKey(link)) {
                refuse(link, messages);
            }
            return;
        }
        for (byte[] message : messages) {
            if (client.last != null || clients.get(client.slot) != client) {
                return;
            }
            if (!client.welcomed) {
                startup(client, message);
            } else {
                command(client, message, atMicros);
            }
        }
    }

    /**
     * Tells a connection past the bound so: once, and for each statement that has been read with its startup or behind
     * it.
     */
    private void refuse(Link link, List<byte[]> messages) {
        long statements = messages.stream().filter(message -> message[0] == 'Q').count();
        boolean told = extra.put(link, true);
        for (long left = Math.max(statements, told ? 0 : 1); left > 0; left--) {
            link.write(PgMessages.error(
                    "FATAL",
                    "53300",
                    "too many clients",
                    advice(pooler.settings().limits().maxRetryAfterMicros())));
        }
        // Where more has been read it is told next, and refused as well.
        if (link.finishIfAllProcessed()) {
            extra.remove(link);
            ends.ended(EndReason.PAST_BOUND, link, 0);
        }
    }

    private void startup(Client client, byte[] message) {
        int code = PgFramer.int32(message, 4);
        if (code == PgFramer.SSL_REQUEST || code == PgFramer.GSS_REQUEST) {
            client.link.write(PgMessages.NO);
        } else if (code == PgFramer.CANCEL_REQUEST) {
            Client named = message.length == 16
                    ? byKey.get((long) PgFramer.int32(message, 8) << 32 | PgFramer.int32(message, 12) & 0xFFFFFFFFL)
                    : null;
            end(client, EndReason.CANCEL_REQUEST);
            if (named != null) {
                cancel(named);
            }
        } else if (code >> 16 != 3) {
            client.last = EndReason.UNREADABLE;
            answer(client, PgMessages.error("FATAL", "0A000", "protocol version 3 only", null));
        } else {
            client.welcomed = true;
            client.key = (long) ++numbers << 32 | random.nextInt() & 0xFFFFFFFFL;
            byKey.put(client.key, client);
            client.link.write(
                    PgMessages.AUTHENTICATED,
                    PgMessages.key(client.key),
                    PgMessages.texts('S', "server_version", "15.0"),
                    PgMessages.texts('S', "client_encoding", "UTF8"),
                    PgMessages.texts('S', "standard_conforming_strings", "on"),
                    PgMessages.texts('S', "integer_datetimes", "on"),
                    PgMessages.READY);
        }
    }

    /** The client wants the request that it waits for called off: what is out of it ends, and nothing more goes out. */
    private void cancel(Client client) {
        Reply reply = client.due.peek();
        if (reply == null || reply.bytes != null || reply.isFilling) {
            return;
        }
        pooler.clientDisconnected(reply.request);
        byte[] error = PgMessages.error("ERROR", "57014", "canceled at its client's request", null);
        if (reply.source != null) {
            breakOff(reply, error);
        } else {
            settle(reply.ticket, error);
        }
    }

    private void command(Client client, byte[] message, long atMicros) {
        spare.busy(client);
        client.asked = true;
        switch (message[0]) {
            case 'Q' -> query(client, message, atMicros);
            case 'X' -> {
                client.last = EndReason.GOODBYE;
                flush(client);
            }
            case 'S' -> answer(client, PgMessages.READY);
            case 'P', 'B', 'E', 'D', 'C', 'F', 'H', 'd', 'c', 'f' -> {
                client.last = EndReason.UNREADABLE;
                answer(client, PgMessages.error("FATAL", "0A000", "simple queries only", null));
            }
            default -> {
                client.last = EndReason.UNREADABLE;
                answer(client, PgMessages.error("FATAL", "08P01", "unknown message type", null));
            }
        }
    }

    private void query(Client client, byte[] message, long atMicros) {
        if (message[message.length - 1] != 0) {
            client.last = EndReason.UNREADABLE;
            answer(client, PgMessages.error("FATAL", "08P01", "a query ends with a zero byte", null));
            return;
        }
        byte[] text = Arrays.copyOfRange(message, 5, message.length - 1);
        String word = firstWord(text);
        if (word.isEmpty() && !pooler.clientDrain().acceptsClients()) {
            answer(
                    client,
                    PgMessages.error("ERROR", "57P03", "draining: clients are sent away", null),
                    PgMessages.READY);
        } else if (word.isEmpty()) {
            answer(client, PgMessages.EMPTY, PgMessages.READY);
        } else if (word.equals("SET") || word.equals("RESET") || word.equals("DISCARD")) {
            answer(client, PgMessages.texts('C', word), PgMessages.READY);
        } else {
            ask(client, new Statement(text), atMicros);
        }
    }

    private void ask(Client client, Statement statement, long atMicros) {
        try {
            ClientRequest ask = statement.toRequest(pooler.settings().classes(), atMicros, null, PROTOCOL, statement);
            if (pooler.hasOpenRequest(ask.id())) {
                throw new InvalidStatementException("field id names an open request");
            }
            if (client.due.size() >= PIPELINED_MOST || replies.isFull() || waiting + statement.size() > WAITING_MOST) {
                pooler.metrics().requestEnded(ask.classIndex(), Metrics.Result.REJECTED);
                answer(client, refusal(pooler.settings().limits().maxRetryAfterMicros()), PgMessages.READY);
                return;
            }
            Reply reply = new Reply(client);
            reply.size = statement.size();
            waiting += reply.size;
            client.due.add(reply);
            reply.ticket = replies.put(reply);
            reply.request = pooler.submit(this, reply.ticket, ask);
        } catch (InvalidStatementException e) {
            answer(client, PgMessages.error("ERROR", "42601", e.getMessage(), null), PgMessages.READY);
        }
    }

    private static String firstWord(byte[] text) {
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

    private static byte[] refusal(long retryAfterMicros) {
        return PgMessages.error("ERROR", "53300", "refused: a repeat does no harm", advice(retryAfterMicros));
    }

    private static String advice(long retryAfterMicros) {
        return retryAfterMicros > 0 ? Long.toString((retryAfterMicros + 999) / 1000) : null;
    }

    @Override
    public void served(long ticket, Object answer, long position, ServerRole role) {
        settle(ticket, (byte[][]) answer);
    }

    @Override
    public void rejected(long ticket, long retryAfterMicros) {
        settle(ticket, refusal(retryAfterMicros));
    }

    @Override
    public void failed(long ticket) {
        settle(ticket, failure());
    }

    private static byte[] failure() {
        return PgMessages.error("ERROR", "58000", "failed: it may have run", null);
    }

    @Override
    public boolean isClientDisconnected(long ticket) {
        Reply reply = replies.get(ticket);
        return reply == null || reply.client.link.hasEnded();
    }

    @Override
    public void answerStarted(long ticket, Object first, Backend.StreamSource source) {
        Reply reply = replies.get(ticket);
        if (reply != null) {
            reply.source = source;
            streams++;
            byte[][] messages = (byte[][]) first;
            byte[] row = messages[messages.length - 1];
            reply.rowLeft = 1L + PgFramer.int32(row, 1) - row.length;
            reply.pieces.addAll(Arrays.asList(messages));
            pass(reply);
        }
    }

    @Override
    public void answerChunk(long ticket, byte[] piece) {
        Reply reply = replies.get(ticket);
        if (reply != null && !reply.isFilling) {
            reply.rowLeft -= piece.length;
            reply.pieces.add(piece);
            pass(reply);
        }
    }

    @Override
    public void answerAborted(long ticket) {
        Reply reply = replies.get(ticket);
        if (reply != null && !reply.isFilling) {
            breakOff(reply, failure());
        }
    }

    /**
     * Ends an answer whose row can't be finished by an error. What has been written of the row is first filled up to
     * the length that it said of itself: the error voids it, and what is due behind it can be answered on the same
     * connection.
     */
    private void breakOff(Reply reply, byte[] error) {
        reply.pieces.clear();
        reply.source = null;
        streams--;
        reply.isFilling = true;
        fill(reply, error);
    }

    private void fill(Reply reply, byte[] error) {
        Link link = reply.client.link;
        while (reply.begun
                && reply.rowLeft > 0
                && link.pendingWriteBytes() <= ResourceBudgets.streamBufferBytes(streams)) {
            byte[] filler = new byte[(int) Math.min(FILLER, reply.rowLeft)];
            link.write(filler);
            reply.rowLeft -= filler.length;
        }
        if (reply.begun && reply.rowLeft > 0) {
            link.whenPendingAtMost(ResourceBudgets.streamBufferBytes(streams) / 2, () -> {
                if (replies.get(reply.ticket) == reply) {
                    fill(reply, error);
                }
            });
        } else {
            settle(reply.ticket, error);
        }
    }

    /** Hands on what has come of a long answer, and lets the rest come as its client reads. */
    private void pass(Reply reply) {
        Client client = reply.client;
        if (client.due.peek() != reply) {
            reply.source.pauseReading(true);
            return;
        }
        byte[][] pieces = reply.pieces.toArray(new byte[0][]);
        reply.pieces.clear();
        reply.begun |= pieces.length > 0;
        client.link.write(pieces);
        long share = ResourceBudgets.streamBufferBytes(streams);
        boolean full = client.link.pendingWriteBytes() > share;
        reply.source.pauseReading(full);
        if (full) {
            client.link.whenPendingAtMost(share / 2, () -> {
                if (replies.get(reply.ticket) == reply) {
                    pass(reply);
                }
            });
        }
    }

    private void over(Reply reply) {
        waiting -= reply.size;
        streams -= reply.source != null ? 1 : 0;
    }

    private void settle(long ticket, byte[]... bytes) {
        Reply reply = replies.remove(ticket);
        if (reply != null) {
            over(reply);
            long size = Arrays.stream(bytes).mapToLong(part -> part.length).sum();
            reply.unsent = size >= LONG_ANSWER ? size : 0;
            byte[][] kept = bytes;
            if (reply.unsent > 0 && unsent + size > UNSENT_MOST) {
                Log.warn("no room for an answer of %d bytes: clients read too slowly", size);
                reply.unsent = 0;
                kept = new byte[][] {failure()};
            }
            unsent += reply.unsent;
            reply.bytes = Arrays.copyOf(kept, kept.length + 1);
            reply.bytes[kept.length] = PgMessages.READY;
            flush(reply.client);
        }
    }

    private void answer(Client client, byte[]... bytes) {
        Reply reply = new Reply(client);
        reply.bytes = bytes;
        client.due.add(reply);
        flush(client);
    }

    private void flush(Client client) {
        while (!client.due.isEmpty() && client.due.peek().bytes != null) {
            if (client.link.isWriteBacklogged()) {
                client.link.whenPendingAtMost(ROOM_AGAIN, () -> flush(client));
                return;
            }
            Reply reply = client.due.poll();
            unsent -= reply.unsent;
            if (!reply.pieces.isEmpty()) {
                client.link.write(reply.pieces.toArray(new byte[0][]));
            }
            client.link.write(reply.bytes);
        }
        if (!client.due.isEmpty() && client.due.peek().source != null) {
            pass(client.due.peek());
        }
        if (!client.due.isEmpty() || clients.get(client.slot) != client) {
            return;
        }
        if (client.last != null) {
            end(client, client.last);
        } else if (ends()) {
            part(client);
        } else {
            spare.idle(client);
        }
    }

    /** Ends a connection as clients are sent away, as soon as its client is not using it. */
    private void part(Client client) {
        if (client.parts || !ends() || clients.get(client.slot) != client || !client.due.isEmpty()) {
            return;
        }
        // A connection that was just opened brings a request as a rule: it may be on its way.
        boolean fresh = !client.asked && pooler.loop().now() - client.openedAt < LAST_PATIENCE;
        if (!fresh) {
            retire(client, LAST_PATIENCE, EndReason.SENT_AWAY);
        }
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

    /** Connections that have not ended yet. */
    public int open() {
        return clients.size() + extra.size();
    }
}
